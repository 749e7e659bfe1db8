/** Client of a peer by JSON-RPC 2.0 over persistent HTTP connections. */
import { JSONRPCClient, isJSONRPCResponse } from 'json-rpc-2.0';
import type { JSONRPCID, JSONRPCRequest } from 'json-rpc-2.0';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';

import { Failure } from '../shared/failure.js';

import { postText } from './http-post.js';
import { NotificationStream } from './notification-stream.js';
import { Peer } from './peer.js';
import type { PeerCallOptions } from './peer.js';

/** Path of the JSON-RPC endpoint at the peer address. */
export const rpcPath = '/rpc';

const notificationTimeoutMs = 2_000;
const idleTimeoutMs = 30_000;

/** A notification as it is sent. */
interface SerializedNotification {
  readonly method: string;
  readonly text: string;
}

const serializedNotifications = new WeakMap<object, SerializedNotification>();

/**
 * Serializes a notification. One that goes to many peers, with the same parameters
 * object, is serialized once.
 */
const serializeNotification = (method: string, params: unknown): string => {
  const isObject = typeof params === 'object' && params !== null;
  const known = isObject ? serializedNotifications.get(params) : undefined;
  if (known?.method === method) return known.text;
  const text = JSON.stringify({ jsonrpc: '2.0', method, params });
  if (isObject) serializedNotifications.set(params, { method, text });
  return text;
};

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
  readonly #headers: readonly string[];
  readonly #notifications: NotificationStream;
  #pool: Pool;

  constructor(options: JsonRpcPeerOptions) {
    super();
    this.name = options.name;
    this.dataCenter = options.dataCenter;
    this.incarnation = options.incarnation;
    this.address = options.address;
    this.#options = options;
    this.#headers = [
      ...['content-type', 'application/json'],
      ...['authorization', `Bearer ${options.secret}`],
      ...['x-instance', options.self],
    ];
    this.#notifications = new NotificationStream({
      address: options.address,
      headers: this.#headers,
    });
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
    const text = serializeNotification(method, params);
    if (this.#notifications.trySend(text)) {
      this.#options.onMessageSent?.(text.length);
      return;
    }
    this.#postMessage(text, notificationTimeoutMs).catch(() => undefined);
  }

  /** Closes all connections; running calls fail. */
  async close(): Promise<void> {
    this.#notifications.close();
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
    callId?: JSONRPCID,
  ): Promise<void> {
    this.#options.onMessageSent?.(body.length);
    const pool = this.#pool;
    try {
      const { status, text } = await postText(pool, {
        path: rpcPath,
        headers: this.#headers,
        body,
        timeoutMs,
      });
      if (status !== 200 && status !== 204)
        throw new Error(`the peer answered with status ${status}`);
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
