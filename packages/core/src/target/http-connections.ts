/** Connections to one target, kept apart by what they may carry. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';

import { Failure } from '../shared/failure.js';
import { errorText, neverSent } from '../shared/http-errors.js';

const maxStreams = 512;
const maxControlConnections = 4;
const maxIdleProven = 16;

export interface ConnectionSettings {
  readonly connectTimeoutMs: number;
  /** A stream without any byte for so long is silent. */
  readonly heartbeatLimitMs: number;
  /** Age of a connection's last answer up to which it counts as proven. */
  readonly provenMs: number;
  /** Limit of a short call such as a load report. */
  readonly callTimeoutMs: number;
}

export const defaultConnectionSettings: ConnectionSettings = {
  connectTimeoutMs: 1_000,
  heartbeatLimitMs: 3_000,
  provenMs: 2_000,
  callTimeoutMs: 2_000,
};

interface ProvenClient {
  readonly client: Client;
  readonly atMs: number;
}

/** What an HTTP error says about the request that met it. */
export const failureOfError = (error: unknown): Failure =>
  new Failure('target_failed', `no answer: ${errorText(error)}`, {
    executed: neverSent(error) ? 'no' : 'unknown',
    cause: error,
  });

export class HttpConnections {
  #streams: Pool;
  #control: Pool;
  #proven: ProvenClient[] = [];
  readonly #busy = new Set<Client>();

  constructor(
    readonly address: string,
    readonly settings: ConnectionSettings,
  ) {
    this.#streams = this.#pool(maxStreams);
    this.#control = this.#pool(maxControlConnections);
  }

  /** For streams and calls that may be repeated. */
  get streams(): Dispatcher {
    return this.#streams;
  }

  /** For short calls, which never wait behind streams. */
  get control(): Dispatcher {
    return this.#control;
  }

  /** Closes every connection; what runs on them fails. */
  reset(): void {
    const idle = this.#proven.map(({ client }) => client);
    const old = [this.#streams, this.#control, ...idle, ...this.#busy];
    this.#streams = this.#pool(maxStreams);
    this.#control = this.#pool(maxControlConnections);
    this.#proven = [];
    this.#busy.clear();
    for (const dispatcher of old) void dispatcher.destroy();
  }

  /** Asks for the target's health on a connection of its own. */
  async probe(timeoutMs: number): Promise<Either<Failure, void>> {
    const client = this.#client();
    const outcome = await this.#prove(client, timeoutMs);
    await client.destroy();
    return outcome;
  }

  /**
   * Runs a request that may not be repeated on a connection that answered
   * within `provenMs`, or on a new one after its health was asked for there.
   */
  async withProven<T>(
    run: (client: Dispatcher) => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    const taken = await this.#takeProven();
    const client = taken.extract();
    if (client instanceof Failure) return Left(client);
    this.#busy.add(client);
    const outcome = await run(client);
    if (!this.#busy.delete(client)) return outcome;
    if (outcome.isRight() && this.#proven.length < maxIdleProven) {
      this.#proven.push({ client, atMs: Date.now() });
    } else {
      void client.destroy();
    }
    return outcome;
  }

  async #takeProven(): Promise<Either<Failure, Client>> {
    const newest = this.#proven.pop();
    const sinceMs = Date.now() - this.settings.provenMs;
    if (newest !== undefined && newest.atMs >= sinceMs) {
      return Right(newest.client);
    }
    const stale = [...this.#proven, ...(newest === undefined ? [] : [newest])];
    this.#proven = [];
    for (const { client } of stale) void client.destroy();
    const client = this.#client();
    const proof = await this.#prove(client, this.settings.callTimeoutMs);
    if (proof.isLeft()) void client.destroy();
    return proof.map(() => client);
  }

  async #prove(
    client: Client,
    timeoutMs: number,
  ): Promise<Either<Failure, void>> {
    try {
      const { statusCode, body } = await client.request({
        method: 'GET',
        path: '/health',
        signal: AbortSignal.timeout(timeoutMs),
      });
      await body.dump();
      if (statusCode === 200) return Right(undefined);
      return Left(new Failure('target_failed', `health is ${statusCode}`));
    } catch (error) {
      // Only the health was asked for, so the caller's request was not run.
      return Left(failureOfError(error).withExecuted('no'));
    }
  }

  #pool(connections: number): Pool {
    return new Pool(`http://${this.address}`, {
      connections,
      connectTimeout: this.settings.connectTimeoutMs,
    });
  }

  #client(): Client {
    return new Client(`http://${this.address}`, {
      connectTimeout: this.settings.connectTimeoutMs,
    });
  }
}
