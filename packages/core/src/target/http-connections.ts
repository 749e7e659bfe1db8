/** Connections to one target, kept apart by what they may carry. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';

import { Failure } from '../shared/failure.js';
import { describeError, isUnsentError } from '../shared/http-errors.js';

const maxStreamConnections = 512;
const maxControlConnections = 4;
const maxIdleCheckedClients = 16;

export interface ConnectionSettings {
  readonly connectTimeoutMs: number;
  /** A stream without any byte for so long is silent. */
  readonly heartbeatTimeoutMs: number;
  /** Age of a connection's last answer up to which it counts as proven. */
  readonly healthCheckValidityMs: number;
  /** Limit of a short call such as a load report. */
  readonly callTimeoutMs: number;
}

export const defaultConnectionSettings: ConnectionSettings = {
  connectTimeoutMs: 1_000,
  heartbeatTimeoutMs: 3_000,
  healthCheckValidityMs: 2_000,
  callTimeoutMs: 2_000,
};

interface CheckedClient {
  readonly client: Client;
  readonly checkedAtMs: number;
}

/** What an HTTP error says about the request that met it. */
export const toTargetFailure = (error: unknown): Failure =>
  new Failure('target_failed', `no answer: ${describeError(error)}`, {
    executed: isUnsentError(error) ? 'no' : 'unknown',
    cause: error,
  });

export class HttpConnections {
  #streamPool: Pool;
  #controlPool: Pool;
  #idleCheckedClients: CheckedClient[] = [];
  readonly #busyClients = new Set<Client>();

  constructor(
    readonly address: string,
    readonly settings: ConnectionSettings,
  ) {
    this.#streamPool = this.#createPool(maxStreamConnections);
    this.#controlPool = this.#createPool(maxControlConnections);
  }

  /** For streams and calls that may be repeated. */
  get streamDispatcher(): Dispatcher {
    return this.#streamPool;
  }

  /** For short calls, which never wait behind streams. */
  get controlDispatcher(): Dispatcher {
    return this.#controlPool;
  }

  /** Closes every connection; what runs on them fails. */
  closeAll(): void {
    const idle = this.#idleCheckedClients.map(({ client }) => client);
    const old = [
      this.#streamPool,
      this.#controlPool,
      ...idle,
      ...this.#busyClients,
    ];
    this.#streamPool = this.#createPool(maxStreamConnections);
    this.#controlPool = this.#createPool(maxControlConnections);
    this.#idleCheckedClients = [];
    this.#busyClients.clear();
    for (const dispatcher of old) void dispatcher.destroy();
  }

  /** Asks for the target's health on a connection of its own. */
  async probeHealth(timeoutMs: number): Promise<Either<Failure, void>> {
    const client = this.#createClient();
    const outcome = await this.#checkHealth(client, timeoutMs);
    await client.destroy();
    return outcome;
  }

  /**
   * Runs a request that may not be repeated on a connection that answered
   * within `provenMs`, or on a new one after its health was asked for there.
   */
  async runOnCheckedConnection<T>(
    run: (client: Dispatcher) => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    const taken = await this.#takeCheckedClient();
    const client = taken.extract();
    if (client instanceof Failure) return Left(client);
    this.#busyClients.add(client);
    const outcome = await run(client);
    if (!this.#busyClients.delete(client)) return outcome;
    if (
      outcome.isRight() &&
      this.#idleCheckedClients.length < maxIdleCheckedClients
    ) {
      this.#idleCheckedClients.push({ client, checkedAtMs: Date.now() });
    } else {
      void client.destroy();
    }
    return outcome;
  }

  async #takeCheckedClient(): Promise<Either<Failure, Client>> {
    const newest = this.#idleCheckedClients.pop();
    const sinceMs = Date.now() - this.settings.healthCheckValidityMs;
    if (newest !== undefined && newest.checkedAtMs >= sinceMs) {
      return Right(newest.client);
    }
    const stale = [
      ...this.#idleCheckedClients,
      ...(newest === undefined ? [] : [newest]),
    ];
    this.#idleCheckedClients = [];
    for (const { client } of stale) void client.destroy();
    const client = this.#createClient();
    const proof = await this.#checkHealth(client, this.settings.callTimeoutMs);
    if (proof.isLeft()) void client.destroy();
    return proof.map(() => client);
  }

  async #checkHealth(
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
      return Left(toTargetFailure(error).withExecuted('no'));
    }
  }

  #createPool(connections: number): Pool {
    return new Pool(`http://${this.address}`, {
      connections,
      connectTimeout: this.settings.connectTimeoutMs,
    });
  }

  #createClient(): Client {
    return new Client(`http://${this.address}`, {
      connectTimeout: this.settings.connectTimeoutMs,
    });
  }
}
