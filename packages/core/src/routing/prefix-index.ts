/** What the engines' prefix caches probably hold, from late and gapped events. */
import { LRUCache } from 'lru-cache';

import type { CacheEvent } from '../target/target.js';

export interface PrefixIndexOptions {
  /** How long an entry learnt from an event is believed. */
  readonly entryTtlMs?: number;
  /** How long entries are believed once events are known to be missing. */
  readonly doubtTtlMs?: number;
  /** How long an own dispatch counts as cached without an event. */
  readonly dispatchTtlMs?: number;
  readonly maxPiecesPerEngine?: number;
}

interface Entry {
  /** Epoch milliseconds after which the entry counts no more. */
  readonly untilMs: number;
  /** False for own dispatches and after a gap in the events. */
  readonly certain: boolean;
}

interface EngineCache {
  readonly entries: LRUCache<string, Entry>;
  /** Sequence of the newest event seen; -1 before any. */
  sequence: number;
}

/** How much of a prompt an engine has cached. */
export interface CachedPrefix {
  readonly pieces: number;
  /** Pieces of which only a dispatch or events before a gap are known. */
  readonly doubtful: number;
}

const noPrefix: CachedPrefix = { pieces: 0, doubtful: 0 };

export class PrefixIndex {
  readonly #engines = new Map<string, EngineCache>();
  readonly #entryTtlMs: number;
  readonly #doubtTtlMs: number;
  readonly #dispatchTtlMs: number;
  readonly #maxPieces: number;

  constructor(options: PrefixIndexOptions = {}) {
    this.#entryTtlMs = options.entryTtlMs ?? 600_000;
    this.#doubtTtlMs = options.doubtTtlMs ?? 10_000;
    this.#dispatchTtlMs = options.dispatchTtlMs ?? 30_000;
    this.#maxPieces = options.maxPiecesPerEngine ?? 8_192;
  }

  /** Sequence after which to ask the engine for events. */
  sequence(engine: string): number {
    return this.#engines.get(engine)?.sequence ?? -1;
  }

  /** Takes events in rising order; repeated ones are ignored. */
  learn(engine: string, events: readonly CacheEvent[]): void {
    const cache = this.#cache(engine);
    for (const event of events) this.#apply(cache, event);
  }

  /** Expects the pieces of an own dispatch to be cached soon. */
  dispatched(engine: string, pieces: readonly string[]): void {
    const { entries } = this.#cache(engine);
    const untilMs = Date.now() + this.#dispatchTtlMs;
    for (const piece of pieces) {
      if (this.#valid(entries.get(piece)) === undefined) {
        entries.set(piece, { untilMs, certain: false });
      }
    }
  }

  /** Longest prefix of the pieces that the engine is believed to hold. */
  cached(engine: string, pieces: readonly string[]): CachedPrefix {
    const entries = this.#engines.get(engine)?.entries;
    if (entries === undefined) return noPrefix;
    let count = 0;
    let doubtful = 0;
    for (const piece of pieces) {
      const entry = this.#valid(entries.get(piece));
      if (entry === undefined) break;
      count += 1;
      if (!entry.certain) doubtful += 1;
    }
    return { pieces: count, doubtful };
  }

  /** Forgets an engine, for instance when its incarnation changed. */
  forget(engine: string): void {
    this.#engines.delete(engine);
  }

  #cache(engine: string): EngineCache {
    let cache = this.#engines.get(engine);
    if (cache === undefined) {
      cache = { entries: new LRUCache({ max: this.#maxPieces }), sequence: -1 };
      this.#engines.set(engine, cache);
    }
    return cache;
  }

  #apply(cache: EngineCache, event: CacheEvent): void {
    if (event.sequence <= cache.sequence) return;
    const gap = cache.sequence >= 0 && event.sequence > cache.sequence + 1;
    if (gap) this.#doubt(cache);
    cache.sequence = event.sequence;
    if (event.kind === 'cleared') {
      cache.entries.clear();
      return;
    }
    const untilMs = Date.now() + this.#entryTtlMs;
    for (const piece of event.pieces) {
      if (event.kind === 'stored') {
        cache.entries.set(piece, { untilMs, certain: true });
      } else {
        cache.entries.delete(piece);
      }
    }
  }

  /** Lost events may have been evictions: believe the rest only briefly. */
  #doubt(cache: EngineCache): void {
    const untilMs = Date.now() + this.#doubtTtlMs;
    const entries = [...cache.entries.entries()].reverse();
    for (const [piece, entry] of entries) {
      cache.entries.set(piece, {
        untilMs: Math.min(entry.untilMs, untilMs),
        certain: false,
      });
    }
  }

  #valid(entry: Entry | undefined): Entry | undefined {
    return entry !== undefined && entry.untilMs > Date.now()
      ? entry
      : undefined;
  }
}
