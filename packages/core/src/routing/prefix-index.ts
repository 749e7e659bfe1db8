/** What the engines' prefix caches probably hold, from late and gapped events. */
import { LRUCache } from 'lru-cache';

import type { CacheEvent } from '../target/target.js';

export interface PrefixIndexOptions {
  /** How long an entry learnt from an event is believed. */
  readonly entryTtlMs?: number;
  /** How long entries are believed once events are known to be missing. */
  readonly uncertainTtlMs?: number;
  /** How long an own dispatch counts as cached without an event. */
  readonly dispatchTtlMs?: number;
  readonly maxBlocksPerEngine?: number;
}

interface BlockEntry {
  /** Epoch milliseconds after which the entry counts no more. */
  readonly expiresAtMs: number;
  /** False for own dispatches and after a gap in the events. */
  readonly isCertain: boolean;
}

interface EngineCacheState {
  readonly entries: LRUCache<string, BlockEntry>;
  /** Sequence of the newest event seen; -1 before any. */
  lastSequence: number;
}

/** How much of a prompt an engine has cached. */
export interface CachedPrefix {
  readonly blocks: number;
  /** Pieces of which only a dispatch or events before a gap are known. */
  readonly uncertainBlocks: number;
}

const emptyPrefix: CachedPrefix = { blocks: 0, uncertainBlocks: 0 };

export class PrefixIndex {
  readonly #engines = new Map<string, EngineCacheState>();
  readonly #entryTtlMs: number;
  readonly #uncertainTtlMs: number;
  readonly #dispatchTtlMs: number;
  readonly #maxBlocksPerEngine: number;

  constructor(options: PrefixIndexOptions = {}) {
    this.#entryTtlMs = options.entryTtlMs ?? 600_000;
    this.#uncertainTtlMs = options.uncertainTtlMs ?? 10_000;
    this.#dispatchTtlMs = options.dispatchTtlMs ?? 30_000;
    this.#maxBlocksPerEngine = options.maxBlocksPerEngine ?? 8_192;
  }

  /** Sequence after which to ask the engine for events. */
  getLastSequence(engine: string): number {
    return this.#engines.get(engine)?.lastSequence ?? -1;
  }

  /** Takes events in rising order; repeated ones are ignored. */
  applyEvents(engine: string, events: readonly CacheEvent[]): void {
    const cache = this.#getState(engine);
    for (const event of events) this.#applyEvent(cache, event);
  }

  /** Expects the pieces of an own dispatch to be cached soon. */
  recordDispatch(engine: string, pieces: readonly string[]): void {
    const { entries } = this.#getState(engine);
    const untilMs = Date.now() + this.#dispatchTtlMs;
    for (const piece of pieces) {
      if (this.#dropExpired(entries.get(piece)) === undefined) {
        entries.set(piece, { expiresAtMs: untilMs, isCertain: false });
      }
    }
  }

  /** Longest prefix of the pieces that the engine is believed to hold. */
  findCachedPrefix(engine: string, pieces: readonly string[]): CachedPrefix {
    const entries = this.#engines.get(engine)?.entries;
    if (entries === undefined) return emptyPrefix;
    let count = 0;
    let doubtful = 0;
    for (const piece of pieces) {
      const entry = this.#dropExpired(entries.get(piece));
      if (entry === undefined) break;
      count += 1;
      if (!entry.isCertain) doubtful += 1;
    }
    return { blocks: count, uncertainBlocks: doubtful };
  }

  /** Forgets an engine, for instance when its incarnation changed. */
  removeEngine(engine: string): void {
    this.#engines.delete(engine);
  }

  #getState(engine: string): EngineCacheState {
    let cache = this.#engines.get(engine);
    if (cache === undefined) {
      cache = {
        entries: new LRUCache({ max: this.#maxBlocksPerEngine }),
        lastSequence: -1,
      };
      this.#engines.set(engine, cache);
    }
    return cache;
  }

  #applyEvent(cache: EngineCacheState, event: CacheEvent): void {
    if (event.sequence <= cache.lastSequence) return;
    const gap =
      cache.lastSequence >= 0 && event.sequence > cache.lastSequence + 1;
    if (gap) this.#markUncertain(cache);
    cache.lastSequence = event.sequence;
    if (event.kind === 'cleared') {
      cache.entries.clear();
      return;
    }
    const untilMs = Date.now() + this.#entryTtlMs;
    for (const piece of event.pieces) {
      if (event.kind === 'stored') {
        cache.entries.set(piece, { expiresAtMs: untilMs, isCertain: true });
      } else {
        cache.entries.delete(piece);
      }
    }
  }

  /** Lost events may have been evictions: believe the rest only briefly. */
  #markUncertain(cache: EngineCacheState): void {
    const untilMs = Date.now() + this.#uncertainTtlMs;
    const entries = [...cache.entries.entries()].reverse();
    for (const [piece, entry] of entries) {
      cache.entries.set(piece, {
        expiresAtMs: Math.min(entry.expiresAtMs, untilMs),
        isCertain: false,
      });
    }
  }

  #dropExpired(entry: BlockEntry | undefined): BlockEntry | undefined {
    return entry !== undefined && entry.expiresAtMs > Date.now()
      ? entry
      : undefined;
  }
}
