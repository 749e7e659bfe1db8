/** The prefix cache of a simulated engine and its late, gapped events. */
import { digestPrefixBlocks } from '@medlarlever/core';
import type { CacheEvent, ModelId } from '@medlarlever/core';

/** Events kept for readers that fell behind. */
const eventMemory = 1_024;

export interface PrefixCacheOptions {
  readonly capacity: number;
  readonly lagMs: number;
  /** Every so many events one is lost; 0 loses none. */
  readonly gapEvery: number;
}

type TimedEvent = CacheEvent & { readonly atMs: number };

export class PrefixCache {
  /** Least recently used first. */
  readonly #pieces = new Set<string>();
  #events: TimedEvent[] = [];
  #sequence = 0;

  constructor(readonly options: PrefixCacheOptions) {}

  get use(): number {
    const { capacity } = this.options;
    return capacity === 0 ? 0 : this.#pieces.size / capacity;
  }

  /** Leading pieces of the prompt that are cached. */
  match(prompt: string, model: ModelId): number {
    const pieces = digestPrefixBlocks(model, prompt);
    const missing = pieces.findIndex(piece => !this.#pieces.has(piece));
    const count = missing === -1 ? pieces.length : missing;
    for (const piece of pieces.slice(0, count)) this.#touch(piece);
    return count;
  }

  /** Stores the pieces of a prompt and evicts the least recently used. */
  store(prompt: string, model: ModelId): void {
    const pieces = digestPrefixBlocks(model, prompt);
    const fresh = pieces.filter(piece => !this.#pieces.has(piece));
    for (const piece of pieces) this.#touch(piece);
    if (fresh.length > 0) this.#record('stored', fresh);
    this.#evict();
  }

  clear(): void {
    this.#pieces.clear();
    this.#record('cleared', []);
  }

  /** Events after `sequence` that are old enough to be seen. */
  events(after: number): CacheEvent[] {
    const untilMs = Date.now() - this.options.lagMs;
    return this.#events
      .filter(event => event.sequence > after && event.atMs <= untilMs)
      .map(({ sequence, kind, pieces }) => ({ sequence, kind, pieces }));
  }

  #touch(piece: string): void {
    this.#pieces.delete(piece);
    this.#pieces.add(piece);
  }

  #evict(): void {
    const excess = this.#pieces.size - this.options.capacity;
    if (excess <= 0) return;
    const evicted = [...this.#pieces].slice(0, excess);
    for (const piece of evicted) this.#pieces.delete(piece);
    this.#record('evicted', evicted);
  }

  #record(kind: CacheEvent['kind'], pieces: string[]): void {
    this.#sequence += 1;
    const { gapEvery } = this.options;
    if (gapEvery > 0 && this.#sequence % gapEvery === 0) return;
    const event = { sequence: this.#sequence, kind, pieces, atMs: Date.now() };
    this.#events = [...this.#events.slice(1 - eventMemory), event];
  }
}
