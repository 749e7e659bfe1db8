/**
 * Exchanges batches of dispatch counts with peers, so that each instance can
 * include the dispatches of the others in its load estimates.
 */
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import { addJitter, sleep } from '../shared/time.js';

import type { LoadEstimator } from './load-estimator.js';

const dispatchBatchSchema = z.object({
  /**
   * Fraction of the peers that receive this batch. The receiver divides the
   * counts by it, to estimate the dispatches of all peers.
   */
  share: z.number().gt(0).max(1),
  /** Engine name, number of requests, number of prompt tokens to prefill. */
  engines: z.array(
    z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()]),
  ),
});

export interface DispatchNotifierOptions {
  readonly loadEstimator: LoadEstimator;
  readonly peers: PeerGroup;
  readonly random: () => number;
  /** Time between two batches in milliseconds; 100 by default, with jitter. */
  readonly intervalMs?: number;
  /**
   * Maximum number of peers that receive each batch; limits the bytes sent in
   * large fleets.
   */
  readonly maxPeersPerBatch?: number;
}

/** Name of the peer method that receives a batch. */
export const dispatchBatchMethod = 'routing.dispatched';

/**
 * Collects the dispatches of this instance and sends them to peers
 * periodically.
 */
export class DispatchNotifier {
  readonly #options: DispatchNotifierOptions;
  readonly #intervalMs: number;
  readonly #maxPeersPerBatch: number;
  readonly #pendingDispatches = new Map<
    string,
    { requests: number; tokens: number }
  >();

  constructor(options: DispatchNotifierOptions) {
    this.#options = options;
    this.#intervalMs = options.intervalMs ?? 100;
    this.#maxPeersPerBatch = options.maxPeersPerBatch ?? 8;
  }

  /** Adds a dispatch of this instance to the next batch. */
  addDispatch(engine: string, prefillTokens: number): void {
    const counts = this.#pendingDispatches.get(engine) ?? {
      requests: 0,
      tokens: 0,
    };
    counts.requests += 1;
    counts.tokens += Math.round(prefillTokens);
    this.#pendingDispatches.set(engine, counts);
  }

  /** Sends a batch once per interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    while (await sleep(addJitter(this.#intervalMs, random), signal)) {
      this.sendBatch();
    }
  }

  /**
   * Sends the pending dispatches, if there are any, to a random sample of the
   * peers in this data centre.
   */
  sendBatch(): void {
    if (this.#pendingDispatches.size === 0) return;
    const engines = [...this.#pendingDispatches].map(
      ([engine, counts]) => [engine, counts.requests, counts.tokens] as const,
    );
    this.#pendingDispatches.clear();
    const localPeers = this.#options.peers.listLocalPeers();
    const sampledPeers = this.#samplePeers(localPeers);
    const share = sampledPeers.length / localPeers.length;
    for (const peer of sampledPeers) {
      peer.sendNotification(dispatchBatchMethod, { share, engines });
    }
  }

  /** Returns the handlers of the methods that peers call, by method name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return new Map([
      [dispatchBatchMethod, params => this.#receiveBatch(params)],
    ]);
  }

  #receiveBatch(params: unknown): ReturnType<PeerMethodHandler> {
    const parsed = dispatchBatchSchema.safeParse(params);
    if (parsed.success) {
      const { engines, share } = parsed.data;
      for (const [engine, requests, tokens] of engines) {
        this.#options.loadEstimator.recordPeerDispatches(
          engine,
          requests / share,
          tokens / share,
        );
      }
    }
    return Promise.resolve(Right(undefined));
  }

  #samplePeers(peers: readonly Peer[]): readonly Peer[] {
    if (peers.length <= this.#maxPeersPerBatch) return peers;
    const remainingPeers = [...peers];
    const sampledPeers: Peer[] = [];
    while (sampledPeers.length < this.#maxPeersPerBatch) {
      const index = Math.floor(this.#options.random() * remainingPeers.length);
      sampledPeers.push(...remainingPeers.splice(index, 1));
    }
    return sampledPeers;
  }
}
