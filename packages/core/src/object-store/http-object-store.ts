/** Client of the platform's object store, by the REST API of S3. */
import { Just, Left, Nothing, Right } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';
import { Pool } from 'undici';
import type { Dispatcher } from 'undici';

import { readBoundedBytes } from '../shared/bounded-body.js';
import { Failure } from '../shared/failure.js';
import { createHttpConnector } from '../shared/http-connector.js';
import { describeError, isUnsentError } from '../shared/http-errors.js';

import { ObjectStore } from './object-store.js';

const defaultCallTimeoutMs = 10_000;
const maxConnections = 8;

/** Longest object, the largest of which hold configurations. */
const maxObjectBytes = 64 * 1024 * 1024;

export interface HttpObjectStoreOptions {
  /** Origin of the service, `http://ip:port`. */
  readonly url: string;
  readonly bucket: string;
  readonly timeoutMs?: number;
}

const createUnavailableFailure = (message: string) =>
  new Failure('platform_unavailable', message);

/** Reads and writes the objects of one bucket over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #pool: Pool;
  readonly #timeoutMs: number;

  constructor(private readonly options: HttpObjectStoreOptions) {
    super();
    this.#timeoutMs = options.timeoutMs ?? defaultCallTimeoutMs;
    this.#pool = new Pool(options.url, {
      connections: maxConnections,
      connect: createHttpConnector({ connectTimeoutMs: this.#timeoutMs }),
    });
  }

  override async getObject(
    name: string,
  ): Promise<Either<Failure, Maybe<Uint8Array>>> {
    try {
      const response = await this.#sendRequest('GET', name);
      const body = await readBoundedBytes(response.body, {
        maxBytes: maxObjectBytes,
      });
      if (response.statusCode === 200) return Right(Just(body));
      if (response.statusCode === 404) return Right(Nothing);
      return Left(
        createUnavailableFailure(
          `reading object "${name}": the object store answered with status ${response.statusCode}`,
        ),
      );
    } catch (error) {
      return Left(
        createUnavailableFailure(
          `reading object "${name}" got no response from the object store: ${describeError(error)}`,
        ),
      );
    }
  }

  override async putObject(
    name: string,
    body: Uint8Array,
  ): Promise<Either<Failure, void>> {
    try {
      const response = await this.#sendRequest('PUT', name, body);
      await response.body.dump();
      if (response.statusCode === 200) return Right(undefined);
      return Left(
        this.#createUnknownFailure(
          `writing object "${name}": the object store answered with status ${response.statusCode}`,
        ),
      );
    } catch (error) {
      const message = `writing object "${name}" got no response from the object store: ${describeError(error)}`;
      return Left(
        isUnsentError(error)
          ? createUnavailableFailure(message)
          : this.#createUnknownFailure(message),
      );
    }
  }

  /** Closes the connections after the running calls have ended. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  #sendRequest(
    method: 'GET' | 'PUT',
    name: string,
    body?: Uint8Array,
  ): Promise<Dispatcher.ResponseData> {
    const key = name.split('/').map(encodeURIComponent).join('/');
    return this.#pool.request({
      method,
      path: `/${this.options.bucket}/${key}`,
      headers: { 'content-type': 'application/octet-stream' },
      body,
      signal: AbortSignal.timeout(this.#timeoutMs),
    });
  }

  #createUnknownFailure(message: string): Failure {
    return new Failure('platform_unknown', message, { executed: 'unknown' });
  }
}
