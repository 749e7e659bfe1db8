/** The prefix cache of a fake engine: pieces, least recently used go first. */
import type { CacheEvent } from '@medlarlever/core';
import { prefixBlockTokens } from '@medlarlever/core';

const keptEvents = 4_096;

export class PieceCache {
  /** In order of use, the oldest first. */
  readonly #pieces = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #sequence = 0;

  get tokens(): number {
    return this.#pieces.size * prefixBlockTokens;
  }

  /** Leading pieces that are cached; they become the most recently used. */
  use(pieces: readonly string[]): number {
    const missing = pieces.findIndex(piece => !this.#pieces.has(piece));
    const hits = missing === -1 ? pieces.length : missing;
    for (const piece of pieces.slice(0, hits)) {
      this.#pieces.delete(piece);
      this.#pieces.add(piece);
    }
    return hits;
  }

  store(pieces: readonly string[]): void {
    const fresh = pieces.filter(piece => !this.#pieces.has(piece));
    for (const piece of pieces) {
      this.#pieces.delete(piece);
      this.#pieces.add(piece);
    }
    this.#record('stored', fresh);
  }

  /** Evicts the least recently used pieces until the rest fits. */
  shrinkTo(tokens: number): void {
    const evicted: string[] = [];
    for (const piece of this.#pieces) {
      if (this.tokens <= tokens) break;
      this.#pieces.delete(piece);
      evicted.push(piece);
    }
    this.#record('evicted', evicted);
  }

  clear(): void {
    this.#pieces.clear();
    this.#sequence += 1;
    this.#push({ sequence: this.#sequence, kind: 'cleared', pieces: [] });
  }

  eventsAfter(sequence: number): readonly CacheEvent[] {
    const first = this.#events.findLastIndex(e => e.sequence <= sequence) + 1;
    return this.#events.slice(first);
  }

  #record(kind: 'stored' | 'evicted', pieces: readonly string[]): void {
    if (pieces.length === 0) return;
    this.#sequence += 1;
    this.#push({ sequence: this.#sequence, kind, pieces: [...pieces] });
  }

  #push(event: CacheEvent): void {
    this.#events.push(event);
    if (this.#events.length > keptEvents) this.#events.shift();
  }
}
