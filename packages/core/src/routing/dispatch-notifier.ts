/** Tells peers of own dispatches in batches, and takes in theirs. */
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import { jittered, sleep } from '../shared/time.js';

import type { LoadBook } from './load-estimator.js';

const newsSchema = z.object({
  /** Share of the peers that get a batch; counts are divided by it. */
  share: z.number().gt(0).max(1),
  /** Engine, requests, prompt tokens. */
  engines: z.array(
    z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()]),
  ),
});

export interface DispatchNewsOptions {
  readonly book: LoadBook;
  readonly peers: PeerGroup;
  readonly random: () => number;
  readonly intervalMs?: number;
  /** Peers told of each batch; bounds the bytes sent in large fleets. */
  readonly fanOut?: number;
}

/** Name of the peer method that takes in a batch. */
export const dispatchNewsMethod = 'routing.dispatched';

export class DispatchNews {
  readonly #options: DispatchNewsOptions;
  readonly #intervalMs: number;
  readonly #fanOut: number;
  readonly #pending = new Map<string, { requests: number; tokens: number }>();

  constructor(options: DispatchNewsOptions) {
    this.#options = options;
    this.#intervalMs = options.intervalMs ?? 100;
    this.#fanOut = options.fanOut ?? 8;
  }

  /** Adds an own dispatch to the next batch. */
  add(engine: string, prefillTokens: number): void {
    const entry = this.#pending.get(engine) ?? { requests: 0, tokens: 0 };
    entry.requests += 1;
    entry.tokens += Math.round(prefillTokens);
    this.#pending.set(engine, entry);
  }

  /** Sends batches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    while (await sleep(jittered(this.#intervalMs, random), signal)) {
      this.flush();
    }
  }

  /** Sends what has gathered, if anything. */
  flush(): void {
    if (this.#pending.size === 0) return;
    const engines = [...this.#pending].map(
      ([engine, entry]) => [engine, entry.requests, entry.tokens] as const,
    );
    this.#pending.clear();
    const everyone = this.#options.peers.localPeers();
    const chosen = this.#sample(everyone);
    const share = chosen.length / everyone.length;
    for (const peer of chosen) {
      peer.notify(dispatchNewsMethod, { share, engines });
    }
  }

  /** Methods for peers to call, by name. */
  peerMethods(): ReadonlyMap<string, PeerHandler> {
    return new Map([[dispatchNewsMethod, params => this.#receive(params)]]);
  }

  #receive(params: unknown): ReturnType<PeerHandler> {
    const news = newsSchema.safeParse(params);
    if (news.success) {
      const { engines, share } = news.data;
      for (const [engine, requests, tokens] of engines) {
        this.#options.book.peerDispatched(
          engine,
          requests / share,
          tokens / share,
        );
      }
    }
    return Promise.resolve(Right(undefined));
  }

  #sample(peers: readonly Peer[]): readonly Peer[] {
    if (peers.length <= this.#fanOut) return peers;
    const rest = [...peers];
    const chosen: Peer[] = [];
    while (chosen.length < this.#fanOut) {
      const index = Math.floor(this.#options.random() * rest.length);
      chosen.push(...rest.splice(index, 1));
    }
    return chosen;
  }
}
