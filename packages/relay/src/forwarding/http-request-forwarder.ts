/** Forwards requests over HTTP/1.1 to the peer interfaces of other instances. */
import { Failure, errorBodySchema, resultCodes } from '@medlarlever/core';
import type { InstanceRegistry, ResultName } from '@medlarlever/core';
import { Pool } from 'undici';

import type { RelayRequest } from '../requests/relay-request.js';
import type { ResponseSink } from '../relay/target-client.js';

import {
  encodeForwardedRequest,
  failureHeaderName,
  forwardPath,
} from './forwarded-request.js';
import { chooseNeighbor } from './neighbor-selection.js';
import type { Neighbor } from './neighbor-selection.js';
import { RequestForwarder } from './request-forwarder.js';
import type {
  ForwardOptions,
  ForwardOutcome,
  Forwarding,
} from './request-forwarder.js';

/** An instance that is not connected to by then is out of reach. */
const connectTimeoutMs = 350;

/** Connections to one instance, each with one request at a time. */
const maxConnections = 64;
const idleTimeoutMs = 15_000;

/** An error body is short; more comes from no instance. */
const maxFailureBytes = 64 * 1024;

/** Headers of the connection between the instances. */
const connectionHeaderNames: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'date',
  failureHeaderName,
]);

/** Dependencies of {@link HttpRequestForwarder}. */
export interface HttpRequestForwarderOptions {
  readonly registry: Pick<InstanceRegistry, 'self' | 'listInstances'>;
  /** True if the instance has reported that it reaches no target either. */
  readonly isCutOff: (instance: string) => boolean;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

type HeaderRecord = Readonly<Record<string, string | string[] | undefined>>;

const toRawHeaders = (headers: HeaderRecord): string[] =>
  Object.entries(headers)
    .filter(([name]) => !connectionHeaderNames.has(name))
    .flatMap(([name, value = []]) =>
      [value].flat().flatMap(item => [name, item]),
    );

const isResultName = (name: string): name is ResultName => name in resultCodes;

/** Reads the failure in the body; one that can't be read may have run. */
const decodeFailure = (text: string): Failure => {
  try {
    const { error } = errorBodySchema.parse(JSON.parse(text));
    if (isResultName(error.name))
      return new Failure(error.name, error.message, {
        executed: error.executed,
        retryAfterMs: error.retry_after_ms,
      });
  } catch (error) {
    return createUnreadableFailure(String(error));
  }
  return createUnreadableFailure('the result code is unknown');
};

const createUnreadableFailure = (reason: string): Failure =>
  new Failure(
    'target_failed',
    `the failure of the other instance can't be read: ${reason}`,
    { executed: 'unknown' },
  );

/** Keeps connections to the instances to which requests were forwarded. */
export class HttpRequestForwarder extends RequestForwarder {
  readonly #poolsByAddress = new Map<string, Pool>();
  readonly #countsByInstance = new Map<string, number>();

  constructor(private readonly options: HttpRequestForwarderOptions) {
    super();
  }

  override async forward(
    request: RelayRequest,
    options: ForwardOptions,
    sink: ResponseSink,
  ): Promise<Forwarding | undefined> {
    const neighbor = chooseNeighbor(
      this.#listNeighbors(options.excluded),
      this.options.random,
    );
    if (neighbor === undefined) return undefined;
    const { name, address, forwardedCount } = neighbor;
    this.#countsByInstance.set(name, forwardedCount + 1);
    const outcome = await this.#send(address, request, options, sink);
    const count = this.#countsByInstance.get(name) ?? 1;
    this.#countsByInstance.set(name, count - 1);
    return { instance: name, outcome };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.#poolsByAddress.values()];
    this.#poolsByAddress.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  #listNeighbors(excluded: ReadonlySet<string>): Neighbor[] {
    const { registry, isCutOff } = this.options;
    return registry
      .listInstances()
      .filter(
        ({ name, state }) =>
          name !== registry.self.name &&
          state === 'live' &&
          !excluded.has(name) &&
          !isCutOff(name),
      )
      .map(({ name, address, dataCenter }) => ({
        name,
        address,
        isLocal: dataCenter === registry.self.dataCenter,
        forwardedCount: this.#countsByInstance.get(name) ?? 0,
      }));
  }

  #getPool(address: string): Pool {
    const existing = this.#poolsByAddress.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: connectTimeoutMs, noDelay: true },
      connections: maxConnections,
      pipelining: 1,
      keepAliveTimeout: idleTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#poolsByAddress.set(address, pool);
    return pool;
  }

  /** Sends the request once; never rejects. */
  #send(
    address: string,
    request: RelayRequest,
    { remainingMs, lastEventId, signal }: ForwardOptions,
    sink: ResponseSink,
  ): Promise<ForwardOutcome> {
    const body = JSON.stringify(
      encodeForwardedRequest(request, remainingMs, lastEventId),
    );
    return new Promise(resolve => {
      let phase: 'connecting' | 'sent' | 'answering' = 'connecting';
      let status = 0;
      let isAccepted = false;
      let failureText: string | undefined;
      let abortDispatch: () => void = () => undefined;
      const finish = (outcome: ForwardOutcome) => {
        signal.removeEventListener('abort', abort);
        resolve(outcome);
      };
      const abort = () => {
        finish({ kind: 'aborted' });
        abortDispatch();
      };
      if (signal.aborted) {
        resolve({ kind: 'aborted' });
        return;
      }
      signal.addEventListener('abort', abort, { once: true });
      this.#getPool(address).dispatch(
        {
          method: 'POST',
          path: forwardPath,
          headers: {
            'content-type': 'application/json',
            'x-instance': this.options.registry.self.name,
          },
          body,
        },
        {
          onRequestStart(controller) {
            abortDispatch = () => {
              controller.abort(new Error('the request was aborted'));
            };
            if (signal.aborted) abortDispatch();
            else phase = 'sent';
          },
          onResponseStart(_controller, statusCode, headers) {
            phase = 'answering';
            status = statusCode;
            if (headers[failureHeaderName] !== undefined) {
              failureText = '';
              return;
            }
            isAccepted = sink.onHead({
              status,
              headers: toRawHeaders(headers),
              isCloseDelimited: false,
            });
          },
          onResponseData(controller, chunk) {
            if (failureText !== undefined) {
              failureText += chunk.toString();
              if (failureText.length > maxFailureBytes)
                controller.abort(new Error('the failure is too long'));
              return;
            }
            if (!isAccepted || signal.aborted || sink.onData(chunk)) return;
            controller.pause();
            void sink.waitForDrain().then(() => {
              controller.resume();
            });
          },
          onResponseEnd() {
            if (failureText !== undefined)
              finish({ kind: 'failed', failure: decodeFailure(failureText) });
            else finish({ kind: isAccepted ? 'whole' : 'declined', status });
          },
          onResponseError(_controller, error) {
            finish({ kind: 'broken', phase, reason: error.message });
          },
        },
      );
    });
  }
}
