/** The prefix cache of a fake engine: pieces, least recently used go first. */
import type { CacheEvent } from '@medlarlever/core';
import { prefixBlockTokens } from '@medlarlever/core';

const maxKeptEvents = 4_096;

export class PrefixCache {
  /** In order of use, the oldest first. */
  readonly #blocks = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #lastSequence = 0;

  get tokenCount(): number {
    return this.#blocks.size * prefixBlockTokens;
  }

  /** Leading pieces that are cached; they become the most recently used. */
  touchPrefix(pieces: readonly string[]): number {
    const missing = pieces.findIndex(piece => !this.#blocks.has(piece));
    const hits = missing === -1 ? pieces.length : missing;
    for (const piece of pieces.slice(0, hits)) {
      this.#blocks.delete(piece);
      this.#blocks.add(piece);
    }
    return hits;
  }

  storeBlocks(pieces: readonly string[]): void {
    const fresh = pieces.filter(piece => !this.#blocks.has(piece));
    for (const piece of pieces) {
      this.#blocks.delete(piece);
      this.#blocks.add(piece);
    }
    this.#recordEvent('stored', fresh);
  }

  /** Evicts the least recently used pieces until the rest fits. */
  evictToTokens(tokens: number): void {
    const evicted: string[] = [];
    for (const piece of this.#blocks) {
      if (this.tokenCount <= tokens) break;
      this.#blocks.delete(piece);
      evicted.push(piece);
    }
    this.#recordEvent('evicted', evicted);
  }

  clearBlocks(): void {
    this.#blocks.clear();
    this.#lastSequence += 1;
    this.#appendEvent({
      sequence: this.#lastSequence,
      kind: 'cleared',
      pieces: [],
    });
  }

  listEventsAfter(sequence: number): readonly CacheEvent[] {
    const first = this.#events.findLastIndex(e => e.sequence <= sequence) + 1;
    return this.#events.slice(first);
  }

  #recordEvent(kind: 'stored' | 'evicted', pieces: readonly string[]): void {
    if (pieces.length === 0) return;
    this.#lastSequence += 1;
    this.#appendEvent({
      sequence: this.#lastSequence,
      kind,
      pieces: [...pieces],
    });
  }

  #appendEvent(event: CacheEvent): void {
    this.#events.push(event);
    if (this.#events.length > maxKeptEvents) this.#events.shift();
  }
}
