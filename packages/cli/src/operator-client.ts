/** HTTP client of the daemon's operators' API, with failover between servers. */
import {
  describeError,
  errorBodySchema,
  Failure,
  readBoundedText,
} from '@medlarlever/core';
import type { ResultName } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { request } from 'undici';

/** Time limit of one HTTP call, from sending the request to the end of the body. */
const callTimeoutMs = 15_000;

/** Longest body of a response. */
const maxResponseBytes = 64 * 1024 * 1024;

/** Servers and credentials of an {@link OperatorClient}. */
export interface OperatorClientOptions {
  /** Base URLs of the servers, tried in this order. */
  readonly servers: readonly string[];
  /** Operator's key, sent as a bearer token. */
  readonly key: string;
}

/** HTTP statuses after which the client tries the next server. */
const unavailableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

const parseFailure = (status: number, body: unknown): Failure => {
  const parsed = errorBodySchema.safeParse(body);
  if (!parsed.success)
    return new Failure(
      'internal',
      `the server responded with HTTP status ${status} and no valid error body`,
    );
  const { name, message, executed, details } = parsed.data.error;
  return new Failure(name as ResultName, message, { executed, details });
};

/**
 * Calls the operators' API. If a server cannot be reached, the next one is tried;
 * the failure of the last one is returned as `daemon_unreachable`.
 */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  get(path: string): Promise<Either<Failure, unknown>> {
    return this.#callAnyServer('GET', path);
  }

  /**
   * Sends a POST request. The request must be idempotent, because after a failed
   * call the same body is sent to the next server.
   */
  post(path: string, body: unknown = {}): Promise<Either<Failure, unknown>> {
    return this.#callAnyServer('POST', path, body);
  }

  async #callAnyServer(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Either<Failure, unknown>> {
    let lastFailure = new Failure(
      'daemon_unreachable',
      'no server is configured; set --server or MEDLARLEVER_SERVERS',
    );
    for (const server of this.options.servers) {
      const result = await this.#callServer(server, method, path, body);
      const failure = result.swap().toMaybe().extract();
      if (failure === undefined) return result;
      if (failure.code !== 'daemon_unreachable') return result;
      lastFailure = failure;
    }
    return Left(lastFailure);
  }

  async #callServer(
    server: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Either<Failure, unknown>> {
    try {
      const response = await request(new URL(`/operator${path}`, server), {
        method,
        headers: {
          authorization: `Bearer ${this.options.key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(callTimeoutMs),
      });
      const text = await readBoundedText(response.body, {
        maxBytes: maxResponseBytes,
      });
      const responseBody: unknown = text === '' ? {} : JSON.parse(text);
      if (response.statusCode < 300) return Right(responseBody);
      const failure = parseFailure(response.statusCode, responseBody);
      const isUnavailable = unavailableStatuses.has(response.statusCode);
      return Left(
        isUnavailable
          ? this.#createUnreachableFailure(server, failure.message)
          : failure,
      );
    } catch (error) {
      return Left(this.#createUnreachableFailure(server, describeError(error)));
    }
  }

  #createUnreachableFailure(server: string, reason: string): Failure {
    return new Failure('daemon_unreachable', `${server}: ${reason}`, {
      executed: 'unknown',
    });
  }
}
