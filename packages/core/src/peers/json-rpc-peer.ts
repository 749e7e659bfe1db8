/** A peer reached by JSON-RPC 2.0 over kept-open HTTP connections. */
import { JSONRPCClient } from 'json-rpc-2.0';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';

import { Failure } from '../shared/failure.js';

import { Peer } from './peer.js';
import type { PeerCallOptions } from './peer.js';

/** Path of the JSON-RPC endpoint on the peer address. */
export const rpcPath = '/rpc';

const notificationTimeoutMs = 2_000;
const idleTimeoutMs = 30_000;

/** Who the peer is and how to reach it. */
export interface JsonRpcPeerOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;
  /** `host:port` */
  readonly address: string;
  /** Shared secret of the deployment. */
  readonly secret: string;
  /** Name of this instance, sent along with each call. */
  readonly self: string;
  /** Called with the size of each message body sent. */
  readonly onMessageSent?: (bytes: number) => void;
}

export class JsonRpcPeer extends Peer {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;
  readonly address: string;
  readonly #options: JsonRpcPeerOptions;
  readonly #client: JSONRPCClient<PeerCallOptions>;
  #pool: Pool;

  constructor(options: JsonRpcPeerOptions) {
    super();
    this.name = options.name;
    this.dataCenter = options.dataCenter;
    this.incarnation = options.incarnation;
    this.address = options.address;
    this.#options = options;
    this.#pool = this.#createPool();
    this.#client = new JSONRPCClient((payload, call) =>
      this.#postMessage(JSON.stringify(payload), call.timeoutMs),
    );
  }

  override async callMethod(
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<Either<Failure, unknown>> {
    try {
      return Right(await this.#client.request(method, params, options));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return Left(
        new Failure('target_failed', `peer "${this.name}": ${reason}`, {
          executed: 'unknown',
          cause: error,
        }),
      );
    }
  }

  override sendNotification(method: string, params: unknown): void {
    this.#client.notify(method, params, { timeoutMs: notificationTimeoutMs });
  }

  /** Closes every connection; calls under way fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #createPool(): Pool {
    return new Pool(`http://${this.#options.address}`, {
      connections: 2,
      keepAliveTimeout: idleTimeoutMs,
    });
  }

  async #postMessage(body: string, timeoutMs: number): Promise<void> {
    this.#options.onMessageSent?.(body.length);
    const pool = this.#pool;
    try {
      const response = await pool.request({
        method: 'POST',
        path: rpcPath,
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${this.#options.secret}`,
          'x-instance': this.#options.self,
        },
        body,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode === 204) return;
      if (response.statusCode !== 200) {
        throw new Error(`status ${response.statusCode}`);
      }
      this.#client.receive(JSON.parse(text) as never);
    } catch (error) {
      this.#replacePool(pool);
      throw error;
    }
  }

  /** A failed call may mean a silent connection: later calls use new ones. */
  #replacePool(failed: Pool): void {
    if (this.#pool !== failed) return;
    this.#pool = this.#createPool();
    failed.destroy().catch(() => undefined);
  }
}
