/**
 * Tracks which prefix blocks each engine probably has cached, from cache events
 * that arrive late and may have gaps.
 */
import { LRUCache } from 'lru-cache';

import type { CacheEvent } from '../target/target.js';

export interface PrefixIndexOptions {
  /**
   * Time in milliseconds for which a block stays in the index after its cache
   * event.
   */
  readonly entryTtlMs?: number;
  /**
   * Time in milliseconds for which blocks stay in the index after a gap in the
   * events.
   */
  readonly uncertainTtlMs?: number;
  /**
   * Time in milliseconds for which the blocks of a dispatch of this instance
   * count as cached without a cache event.
   */
  readonly dispatchTtlMs?: number;
  /** Maximum number of blocks in the index of each engine. */
  readonly maxBlocksPerEngine?: number;
}

interface BlockEntry {
  /** Epoch milliseconds at which the entry expires. */
  readonly expiresAtMs: number;
  /**
   * False for entries from dispatches of this instance, and for all entries
   * after a gap in the events.
   */
  readonly isCertain: boolean;
}

interface EngineCacheState {
  readonly entries: LRUCache<string, BlockEntry>;
  /** Sequence number of the newest event received; -1 if there was none. */
  lastSequence: number;
}

/** Length of the prompt prefix that an engine has cached. */
export interface CachedPrefix {
  readonly blocks: number;
  /**
   * Number of these blocks that are known only from a dispatch, or from cache
   * events received before a gap in the sequence numbers.
   */
  readonly uncertainBlocks: number;
}

const emptyPrefix: CachedPrefix = { blocks: 0, uncertainBlocks: 0 };

/** Index of cached prefix blocks by engine. */
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

  /**
   * Returns the sequence number after which to request events from the engine.
   */
  getLastSequence(engine: string): number {
    return this.#engines.get(engine)?.lastSequence ?? -1;
  }

  /**
   * Applies events in ascending order of sequence number; repeated events are
   * ignored.
   */
  applyEvents(engine: string, events: readonly CacheEvent[]): void {
    const cache = this.#getState(engine);
    for (const event of events) this.#applyEvent(cache, event);
  }

  /**
   * Adds the blocks of a dispatch of this instance as uncertain entries,
   * because the engine will probably cache them soon.
   */
  recordDispatch(engine: string, blocks: readonly string[]): void {
    const { entries } = this.#getState(engine);
    const expiresAtMs = Date.now() + this.#dispatchTtlMs;
    for (const block of blocks) {
      if (this.#dropExpired(entries.get(block)) === undefined) {
        entries.set(block, { expiresAtMs, isCertain: false });
      }
    }
  }

  /**
   * Finds the longest prefix of the blocks that the engine probably has cached.
   */
  findCachedPrefix(engine: string, blocks: readonly string[]): CachedPrefix {
    const entries = this.#engines.get(engine)?.entries;
    if (entries === undefined) return emptyPrefix;
    let count = 0;
    let uncertainBlocks = 0;
    for (const block of blocks) {
      const entry = this.#dropExpired(entries.get(block));
      if (entry === undefined) break;
      count += 1;
      if (!entry.isCertain) uncertainBlocks += 1;
    }
    return { blocks: count, uncertainBlocks };
  }

  /**
   * Removes all state of an engine, for example after a change of its
   * incarnation.
   */
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
    const hasGap =
      cache.lastSequence >= 0 && event.sequence > cache.lastSequence + 1;
    if (hasGap) this.#markUncertain(cache);
    cache.lastSequence = event.sequence;
    if (event.kind === 'cleared') {
      cache.entries.clear();
      return;
    }
    const expiresAtMs = Date.now() + this.#entryTtlMs;
    for (const block of event.pieces) {
      if (event.kind === 'stored') {
        cache.entries.set(block, { expiresAtMs, isCertain: true });
      } else {
        cache.entries.delete(block);
      }
    }
  }

  /**
   * Makes all entries uncertain and shortens their lifetime, because the
   * missing events may have been evictions.
   */
  #markUncertain(cache: EngineCacheState): void {
    const expiresAtMs = Date.now() + this.#uncertainTtlMs;
    const entries = [...cache.entries.entries()].reverse();
    for (const [block, entry] of entries) {
      cache.entries.set(block, {
        expiresAtMs: Math.min(entry.expiresAtMs, expiresAtMs),
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
