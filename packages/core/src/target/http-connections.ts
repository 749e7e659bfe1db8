/** HTTP connections to one target, in separate groups by kind of request. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';

import { Failure } from '../shared/failure.js';
import { createHttpConnector } from '../shared/http-connector.js';
import { describeError, isUnsentError } from '../shared/http-errors.js';

const maxStreamConnections = 512;
const maxControlConnections = 4;
const maxIdleCheckedClients = 16;

/** Time limits for the connections to a target. */
export interface ConnectionSettings {
  readonly connectTimeoutMs: number;
  /** Milliseconds without a byte after which a stream fails. */
  readonly heartbeatTimeoutMs: number;
  /** Time after its last answer for which a connection needs no health check. */
  readonly healthCheckValidityMs: number;
  /** Time limit for a short call such as a load report. */
  readonly callTimeoutMs: number;
}

/** Connection settings that apply where a target sets no other value. */
export const defaultConnectionSettings: ConnectionSettings = {
  connectTimeoutMs: 1_000,
  heartbeatTimeoutMs: 3_000,
  healthCheckValidityMs: 2_000,
  callTimeoutMs: 2_000,
};

/** A connection and the wall-clock time of its last answer. */
interface CheckedClient {
  readonly client: Client;
  readonly checkedAtMs: number;
}

/** Converts an HTTP error; `executed` is `no` if the request was not sent. */
export const toTargetFailure = (error: unknown): Failure =>
  new Failure('target_failed', `no answer: ${describeError(error)}`, {
    executed: isUnsentError(error) ? 'no' : 'unknown',
    cause: error,
  });

/** Keeps the connection pools of one target. */
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

  /** Dispatcher for streams and for calls that may be repeated. */
  get streamDispatcher(): Dispatcher {
    return this.#streamPool;
  }

  /** Dispatcher for short calls, on connections separate from streams. */
  get controlDispatcher(): Dispatcher {
    return this.#controlPool;
  }

  /** Closes every connection; the requests on them fail. */
  closeAll(): void {
    const idleClients = this.#idleCheckedClients.map(({ client }) => client);
    const oldDispatchers = [
      this.#streamPool,
      this.#controlPool,
      ...idleClients,
      ...this.#busyClients,
    ];
    this.#streamPool = this.#createPool(maxStreamConnections);
    this.#controlPool = this.#createPool(maxControlConnections);
    this.#idleCheckedClients = [];
    this.#busyClients.clear();
    for (const dispatcher of oldDispatchers) void dispatcher.destroy();
  }

  /** Checks the target's health on a new connection. */
  async probeHealth(timeoutMs: number): Promise<Either<Failure, void>> {
    const client = this.#createClient();
    const outcome = await this.#checkHealth(client, timeoutMs);
    await client.destroy();
    return outcome;
  }

  /**
   * Runs a request that must not be repeated, on a connection that answered
   * within `healthCheckValidityMs` or on a new one after a health check on it.
   * An old connection may be broken, which would leave it unknown whether the
   * request ran.
   */
  async runOnCheckedConnection<T>(
    run: (client: Dispatcher) => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    const clientResult = await this.#takeCheckedClient();
    const client = clientResult.extract();
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
    const newestClient = this.#idleCheckedClients.pop();
    const oldestValidMs = Date.now() - this.settings.healthCheckValidityMs;
    if (
      newestClient !== undefined &&
      newestClient.checkedAtMs >= oldestValidMs
    ) {
      return Right(newestClient.client);
    }
    const staleClients = [
      ...this.#idleCheckedClients,
      ...(newestClient === undefined ? [] : [newestClient]),
    ];
    this.#idleCheckedClients = [];
    for (const { client } of staleClients) void client.destroy();
    const client = this.#createClient();
    const healthResult = await this.#checkHealth(
      client,
      this.settings.callTimeoutMs,
    );
    if (healthResult.isLeft()) void client.destroy();
    return healthResult.map(() => client);
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
      return Left(
        new Failure(
          'target_failed',
          `the health check returned status ${statusCode}`,
        ),
      );
    } catch (error) {
      // Only the health check was sent, so the caller's request was not run.
      return Left(toTargetFailure(error).withExecuted('no'));
    }
  }

  #createPool(connections: number): Pool {
    return new Pool(`http://${this.address}`, {
      connections,
      connect: createHttpConnector(this.settings),
    });
  }

  #createClient(): Client {
    return new Client(`http://${this.address}`, {
      connect: createHttpConnector(this.settings),
    });
  }
}
