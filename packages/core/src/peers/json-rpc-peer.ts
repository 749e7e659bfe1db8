/** A peer reached by JSON-RPC 2.0 over kept-open HTTP connections. */
import { JSONRPCClient } from 'json-rpc-2.0';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';

import { Failure } from '../shared/failure.js';

import { Peer } from './peer.js';
import type { CallOptions } from './peer.js';

/** Path of the JSON-RPC endpoint on the peer address. */
export const peerPath = '/rpc';

const notifyTimeoutMs = 2_000;
const idleTimeoutMs = 30_000;

/** Who the peer is and how to reach it. */
export interface PeerLinkOptions {
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
  readonly onBytes?: (bytes: number) => void;
}

export class PeerLink extends Peer {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;
  readonly address: string;
  readonly #options: PeerLinkOptions;
  readonly #client: JSONRPCClient<CallOptions>;
  #pool: Pool;

  constructor(options: PeerLinkOptions) {
    super();
    this.name = options.name;
    this.dataCenter = options.dataCenter;
    this.incarnation = options.incarnation;
    this.address = options.address;
    this.#options = options;
    this.#pool = this.#openPool();
    this.#client = new JSONRPCClient((payload, call) =>
      this.#post(JSON.stringify(payload), call.timeoutMs),
    );
  }

  override async call(
    method: string,
    params: unknown,
    options: CallOptions,
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

  override notify(method: string, params: unknown): void {
    this.#client.notify(method, params, { timeoutMs: notifyTimeoutMs });
  }

  /** Closes every connection; calls under way fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #openPool(): Pool {
    return new Pool(`http://${this.#options.address}`, {
      connections: 2,
      keepAliveTimeout: idleTimeoutMs,
    });
  }

  async #post(body: string, timeoutMs: number): Promise<void> {
    this.#options.onBytes?.(body.length);
    const pool = this.#pool;
    try {
      const response = await pool.request({
        method: 'POST',
        path: peerPath,
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
    this.#pool = this.#openPool();
    failed.destroy().catch(() => undefined);
  }
}
