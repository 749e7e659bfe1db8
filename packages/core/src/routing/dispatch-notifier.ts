/** Tells peers of own dispatches in batches, and takes in theirs. */
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import { addJitter, sleep } from '../shared/time.js';

import type { LoadEstimator } from './load-estimator.js';

const dispatchBatchSchema = z.object({
  /** Share of the peers that get a batch; counts are divided by it. */
  share: z.number().gt(0).max(1),
  /** Engine, requests, prompt tokens. */
  engines: z.array(
    z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()]),
  ),
});

export interface DispatchNotifierOptions {
  readonly loadEstimator: LoadEstimator;
  readonly peers: PeerGroup;
  readonly random: () => number;
  readonly intervalMs?: number;
  /** Peers told of each batch; bounds the bytes sent in large fleets. */
  readonly maxPeersPerBatch?: number;
}

/** Name of the peer method that takes in a batch. */
export const dispatchBatchMethod = 'routing.dispatched';

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

  /** Adds an own dispatch to the next batch. */
  addDispatch(engine: string, prefillTokens: number): void {
    const entry = this.#pendingDispatches.get(engine) ?? {
      requests: 0,
      tokens: 0,
    };
    entry.requests += 1;
    entry.tokens += Math.round(prefillTokens);
    this.#pendingDispatches.set(engine, entry);
  }

  /** Sends batches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    while (await sleep(addJitter(this.#intervalMs, random), signal)) {
      this.sendBatch();
    }
  }

  /** Sends what has gathered, if anything. */
  sendBatch(): void {
    if (this.#pendingDispatches.size === 0) return;
    const engines = [...this.#pendingDispatches].map(
      ([engine, entry]) => [engine, entry.requests, entry.tokens] as const,
    );
    this.#pendingDispatches.clear();
    const everyone = this.#options.peers.listLocalPeers();
    const chosen = this.#samplePeers(everyone);
    const share = chosen.length / everyone.length;
    for (const peer of chosen) {
      peer.sendNotification(dispatchBatchMethod, { share, engines });
    }
  }

  /** Methods for peers to call, by name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return new Map([
      [dispatchBatchMethod, params => this.#receiveBatch(params)],
    ]);
  }

  #receiveBatch(params: unknown): ReturnType<PeerMethodHandler> {
    const news = dispatchBatchSchema.safeParse(params);
    if (news.success) {
      const { engines, share } = news.data;
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
    const rest = [...peers];
    const chosen: Peer[] = [];
    while (chosen.length < this.#maxPeersPerBatch) {
      const index = Math.floor(this.#options.random() * rest.length);
      chosen.push(...rest.splice(index, 1));
    }
    return chosen;
  }
}
