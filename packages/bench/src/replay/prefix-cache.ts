/** Prefix cache of a simulated engine with least-recently-used eviction. */
import type { CacheEvent } from '@medlarlever/core';
import { prefixBlockTokens } from '@medlarlever/core';

/** Maximum number of cache events kept for `listEventsAfter`. */
const maxKeptEvents = 4_096;

/** Cached prefix blocks by id, and the recent cache events. */
export class PrefixCache {
  /** Block ids in order of last use, the least recently used first. */
  readonly #blocks = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #lastSequence = 0;

  get tokenCount(): number {
    return this.#blocks.size * prefixBlockTokens;
  }

  /**
   * Counts the cached blocks before the first missing one and marks them as most
   * recently used.
   */
  touchPrefix(blocks: readonly string[]): number {
    const missingIndex = blocks.findIndex(block => !this.#blocks.has(block));
    const hitCount = missingIndex === -1 ? blocks.length : missingIndex;
    for (const block of blocks.slice(0, hitCount)) {
      this.#blocks.delete(block);
      this.#blocks.add(block);
    }
    return hitCount;
  }

  /** Stores blocks as most recently used and records an event for new ones. */
  storeBlocks(blocks: readonly string[]): void {
    const newBlocks = blocks.filter(block => !this.#blocks.has(block));
    for (const block of blocks) {
      this.#blocks.delete(block);
      this.#blocks.add(block);
    }
    this.#recordEvent('stored', newBlocks);
  }

  /** Evicts the least recently used blocks until at most `tokens` remain. */
  evictToTokens(tokens: number): void {
    const evicted: string[] = [];
    for (const block of this.#blocks) {
      if (this.tokenCount <= tokens) break;
      this.#blocks.delete(block);
      evicted.push(block);
    }
    this.#recordEvent('evicted', evicted);
  }

  /** Removes all blocks and records a `cleared` event. */
  clearBlocks(): void {
    this.#blocks.clear();
    this.#lastSequence += 1;
    this.#appendEvent({
      sequence: this.#lastSequence,
      kind: 'cleared',
      pieces: [],
    });
  }

  /** Lists the kept events with a sequence number above `sequence`. */
  listEventsAfter(sequence: number): readonly CacheEvent[] {
    const firstIndex =
      this.#events.findLastIndex(event => event.sequence <= sequence) + 1;
    return this.#events.slice(firstIndex);
  }

  #recordEvent(kind: 'stored' | 'evicted', blocks: readonly string[]): void {
    if (blocks.length === 0) return;
    this.#lastSequence += 1;
    this.#appendEvent({
      sequence: this.#lastSequence,
      kind,
      pieces: [...blocks],
    });
  }

  #appendEvent(event: CacheEvent): void {
    this.#events.push(event);
    if (this.#events.length > maxKeptEvents) this.#events.shift();
  }
}
