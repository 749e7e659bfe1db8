/** The operators' interface of the daemon, tried at each server in turn. */
import { errorBodySchema, describeError, Failure } from '@medlarlever/core';
import type { ResultName } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { request } from 'undici';

const callTimeoutMs = 15_000;

export interface OperatorClientOptions {
  readonly servers: readonly string[];
  readonly key: string;
}

/** Statuses by which a server says to ask another one. */
const unavailableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

const parseFailure = (status: number, body: unknown): Failure => {
  const parsed = errorBodySchema.safeParse(body);
  if (!parsed.success) return new Failure('internal', `status ${status}`);
  const { name, message, executed, details } = parsed.data.error;
  return new Failure(name as ResultName, message, { executed, details });
};

export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  get(path: string): Promise<Either<Failure, unknown>> {
    return this.#callAnyServer('GET', path);
  }

  /** The body must be harmless to send twice: it may reach two servers. */
  post(path: string, body: unknown = {}): Promise<Either<Failure, unknown>> {
    return this.#callAnyServer('POST', path, body);
  }

  async #callAnyServer(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Either<Failure, unknown>> {
    let last = new Failure('daemon_unreachable', 'no server is named');
    for (const server of this.options.servers) {
      const answer = await this.#callServer(server, method, path, body);
      const failure = answer.swap().toMaybe().extract();
      if (failure === undefined) return answer;
      if (failure.code !== 'daemon_unreachable') return answer;
      last = failure;
    }
    return Left(last);
  }

  async #callServer(
    server: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Either<Failure, unknown>> {
    try {
      const answer = await request(new URL(`/operator${path}`, server), {
        method,
        headers: {
          authorization: `Bearer ${this.options.key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(callTimeoutMs),
      });
      const text = await answer.body.text();
      const found: unknown = text === '' ? {} : JSON.parse(text);
      if (answer.statusCode < 300) return Right(found);
      const failure = parseFailure(answer.statusCode, found);
      const away = unavailableStatuses.has(answer.statusCode);
      return Left(
        away
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
