/** Client of a peer by JSON-RPC 2.0 over persistent HTTP connections. */
import { JSONRPCClient, isJSONRPCResponse } from 'json-rpc-2.0';
import type { JSONRPCID, JSONRPCRequest } from 'json-rpc-2.0';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';

import { Failure } from '../shared/failure.js';

import { Peer } from './peer.js';
import type { PeerCallOptions } from './peer.js';

/** Path of the JSON-RPC endpoint at the peer address. */
export const rpcPath = '/rpc';

const notificationTimeoutMs = 2_000;
const idleTimeoutMs = 30_000;

/** Identity and address of the peer, and credentials for the calls. */
export interface JsonRpcPeerOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;
  /** `host:port` */
  readonly address: string;
  /** Secret of the deployment, sent as the bearer token of each call. */
  readonly secret: string;
  /** Name of this instance, sent in the header `x-instance` of each call. */
  readonly self: string;
  /** Called with the length of each message body before it is sent. */
  readonly onMessageSent?: (bytes: number) => void;
}

/** Sends calls and notifications to one peer. */
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
    this.#client = new JSONRPCClient((payload: JSONRPCRequest, callOptions) =>
      this.#postMessage(
        JSON.stringify(payload),
        callOptions.timeoutMs,
        payload.id,
      ),
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
        new Failure(
          'target_failed',
          `call of method "${method}" on peer "${this.name}" failed: ${reason}`,
          {
            executed: 'unknown',
            cause: error,
          },
        ),
      );
    }
  }

  override sendNotification(method: string, params: unknown): void {
    this.#client.notify(method, params, { timeoutMs: notificationTimeoutMs });
  }

  /** Closes all connections; running calls fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #createPool(): Pool {
    return new Pool(`http://${this.#options.address}`, {
      connections: 2,
      keepAliveTimeout: idleTimeoutMs,
    });
  }

  /**
   * Sends the message and takes its answer. Throws if that is not the answer to the call
   * with the id, for which the call would wait forever; undefined for a notification.
   */
  async #postMessage(
    body: string,
    timeoutMs: number,
    callId: JSONRPCID | undefined,
  ): Promise<void> {
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
      const isAccepted = [200, 204].includes(response.statusCode);
      if (!isAccepted) {
        throw new Error(`the peer answered with status ${response.statusCode}`);
      }
      if (callId === undefined) return;
      const answer: unknown = JSON.parse(text);
      if (!isJSONRPCResponse(answer) || answer.id !== callId)
        throw new Error('the peer sent no valid answer to the call');
      this.#client.receive(answer);
    } catch (error) {
      this.#replacePool(pool);
      throw error;
    }
  }

  /**
   * Replaces the pool after a failed call, because its connections may be dead
   * without a reset; later calls use new connections.
   */
  #replacePool(failedPool: Pool): void {
    if (this.#pool !== failedPool) return;
    this.#pool = this.#createPool();
    failedPool.destroy().catch(() => undefined);
  }
}
