/** The prefix cache of a simulated engine and its late, gapped events. */
import { digestPrefixBlocks } from '@medlarlever/core';
import type { CacheEvent, ModelId } from '@medlarlever/core';

/** Events kept for readers that fell behind. */
const maxRetainedEvents = 1_024;

export interface PrefixCacheOptions {
  readonly capacityBlocks: number;
  readonly eventLagMs: number;
  /** Every so many events one is lost; 0 loses none. */
  readonly eventLossInterval: number;
}

type TimestampedEvent = CacheEvent & { readonly atMs: number };

export class PrefixCache {
  /** Least recently used first. */
  readonly #blocks = new Set<string>();
  #events: TimestampedEvent[] = [];
  #lastSequence = 0;

  constructor(readonly options: PrefixCacheOptions) {}

  get utilization(): number {
    const { capacityBlocks: capacity } = this.options;
    return capacity === 0 ? 0 : this.#blocks.size / capacity;
  }

  /** Leading pieces of the prompt that are cached. */
  matchPrefix(prompt: string, model: ModelId): number {
    const pieces = digestPrefixBlocks(model, prompt);
    const missing = pieces.findIndex(piece => !this.#blocks.has(piece));
    const count = missing === -1 ? pieces.length : missing;
    for (const piece of pieces.slice(0, count)) this.#touchBlock(piece);
    return count;
  }

  /** Stores the pieces of a prompt and evicts the least recently used. */
  storePrompt(prompt: string, model: ModelId): void {
    const pieces = digestPrefixBlocks(model, prompt);
    const fresh = pieces.filter(piece => !this.#blocks.has(piece));
    for (const piece of pieces) this.#touchBlock(piece);
    if (fresh.length > 0) this.#recordEvent('stored', fresh);
    this.#evictBlocks();
  }

  clear(): void {
    this.#blocks.clear();
    this.#recordEvent('cleared', []);
  }

  /** Events after `sequence` that are old enough to be seen. */
  getEvents(after: number): CacheEvent[] {
    const untilMs = Date.now() - this.options.eventLagMs;
    return this.#events
      .filter(event => event.sequence > after && event.atMs <= untilMs)
      .map(({ sequence, kind, pieces }) => ({ sequence, kind, pieces }));
  }

  #touchBlock(piece: string): void {
    this.#blocks.delete(piece);
    this.#blocks.add(piece);
  }

  #evictBlocks(): void {
    const excess = this.#blocks.size - this.options.capacityBlocks;
    if (excess <= 0) return;
    const evicted = [...this.#blocks].slice(0, excess);
    for (const piece of evicted) this.#blocks.delete(piece);
    this.#recordEvent('evicted', evicted);
  }

  #recordEvent(kind: CacheEvent['kind'], pieces: string[]): void {
    this.#lastSequence += 1;
    const { eventLossInterval: gapEvery } = this.options;
    if (gapEvery > 0 && this.#lastSequence % gapEvery === 0) return;
    const event = {
      sequence: this.#lastSequence,
      kind,
      pieces,
      atMs: Date.now(),
    };
    this.#events = [...this.#events.slice(1 - maxRetainedEvents), event];
  }
}
