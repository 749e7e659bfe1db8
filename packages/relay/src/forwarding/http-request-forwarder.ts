/** Forwards requests over HTTP/1.1 to the peer interfaces of other instances. */
import { isIP } from 'node:net';

import type { InstanceRegistry } from '@medlarlever/core';
import { Pool } from 'undici';

import type { RelayRequest } from '../requests/relay-request.js';
import { runCheckedSend } from '../relay/checked-send.js';
import type { CallerSink } from '../relay/response-sinks.js';

import { ForwardExchange } from './forward-exchange.js';
import {
  customerForwardPath,
  encodeForwardedRequest,
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

/** Dependencies of {@link HttpRequestForwarder}. */
export interface HttpRequestForwarderOptions {
  readonly registry: Pick<InstanceRegistry, 'self' | 'listInstances'>;
  /** True if the instance has reported that it reaches no target either. */
  readonly isCutOff: (instance: string) => boolean;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

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
    sink: CallerSink,
  ): Promise<Forwarding | undefined> {
    const neighbor = chooseNeighbor(
      this.#listNeighbors(options.excluded),
      this.options.random,
    );
    if (neighbor === undefined) return undefined;
    const { name, address, forwardedCount } = neighbor;
    this.#countsByInstance.set(name, forwardedCount + 1);
    const outcome = await runCheckedSend(
      { sink, signal: options.signal },
      signal => this.#send(address, request, { ...options, signal }, sink),
    );
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

  /**
   * Returns the connections for requests with or without a customer. Those with one leave
   * from the address by which other instances know this one, as they take no others.
   */
  #getPool(address: string, hasCustomer: boolean): Pool {
    const key = `${address} ${String(hasCustomer)}`;
    const existing = this.#poolsByAddress.get(key);
    if (existing !== undefined) return existing;
    const localAddress = hasCustomer ? this.#findOwnHost() : undefined;
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: connectTimeoutMs, noDelay: true },
      ...(localAddress !== undefined && { localAddress }),
      connections: maxConnections,
      pipelining: 1,
      keepAliveTimeout: idleTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#poolsByAddress.set(key, pool);
    return pool;
  }

  /** Host of this instance's peer address; undefined if it is no IP address. */
  #findOwnHost(): string | undefined {
    const { address } = this.options.registry.self;
    const host = address.slice(0, address.lastIndexOf(':'));
    return isIP(host) === 0 ? undefined : host;
  }

  /** Sends the request once; never rejects. */
  #send(
    address: string,
    request: RelayRequest,
    options: ForwardOptions,
    sink: CallerSink,
  ): Promise<ForwardOutcome> {
    const { signal } = options;
    if (signal.aborted) return Promise.resolve({ kind: 'aborted' });
    const body = JSON.stringify(encodeForwardedRequest(request, options));
    const headers = {
      'content-type': 'application/json',
      'x-instance': this.options.registry.self.name,
    };
    const hasCustomer = request.customer !== undefined;
    const path = hasCustomer ? customerForwardPath : forwardPath;
    return new Promise(onEnd => {
      this.#getPool(address, hasCustomer).dispatch(
        { method: 'POST', path, headers, body },
        new ForwardExchange({ sink, signal, onEnd }),
      );
    });
  }
}
