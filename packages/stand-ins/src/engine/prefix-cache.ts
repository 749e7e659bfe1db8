/**
 * The prefix cache of a simulated engine, and its events, which are delayed and
 * partly lost.
 */
import { digestPrefixBlocks } from '@medlarlever/core';
import type { CacheEvent, ModelId } from '@medlarlever/core';

/** Maximum number of events that are kept for readers. */
const maxRetainedEvents = 1_024;

/** Capacity of the cache, and delay and loss of its events. */
export interface PrefixCacheOptions {
  readonly capacityBlocks: number;
  readonly eventLagMs: number;
  /** One event in this many is lost; 0 loses none. */
  readonly eventLossInterval: number;
}

type TimestampedEvent = CacheEvent & { readonly atMs: number };

/** Holds prompt blocks by digest and evicts the least recently used. */
export class PrefixCache {
  /** Digests of the cached blocks, least recently used first. */
  readonly #blocks = new Set<string>();
  #events: TimestampedEvent[] = [];
  #lastSequence = 0;

  constructor(readonly options: PrefixCacheOptions) {}

  /** Used share of the capacity. */
  get utilization(): number {
    const { capacityBlocks } = this.options;
    return capacityBlocks === 0 ? 0 : this.#blocks.size / capacityBlocks;
  }

  /**
   * Returns how many leading blocks of the prompt are cached, and marks them as
   * used.
   */
  matchPrefix(prompt: string, model: ModelId): number {
    const blocks = digestPrefixBlocks(model, prompt);
    const firstMissingIndex = blocks.findIndex(
      block => !this.#blocks.has(block),
    );
    const cachedCount =
      firstMissingIndex === -1 ? blocks.length : firstMissingIndex;
    for (const block of blocks.slice(0, cachedCount)) this.#touchBlock(block);
    return cachedCount;
  }

  /**
   * Stores the blocks of a prompt and evicts the least recently used blocks.
   */
  storePrompt(prompt: string, model: ModelId): void {
    const blocks = digestPrefixBlocks(model, prompt);
    const newBlocks = blocks.filter(block => !this.#blocks.has(block));
    for (const block of blocks) this.#touchBlock(block);
    if (newBlocks.length > 0) this.#recordEvent('stored', newBlocks);
    this.#evictBlocks();
  }

  clear(): void {
    this.#blocks.clear();
    this.#recordEvent('cleared', []);
  }

  /**
   * Returns the events with a sequence number above `after` that are at least
   * `eventLagMs` old.
   */
  getEvents(after: number): CacheEvent[] {
    const visibleUntilMs = Date.now() - this.options.eventLagMs;
    return this.#events
      .filter(event => event.sequence > after && event.atMs <= visibleUntilMs)
      .map(({ sequence, kind, pieces }) => ({ sequence, kind, pieces }));
  }

  #touchBlock(block: string): void {
    this.#blocks.delete(block);
    this.#blocks.add(block);
  }

  #evictBlocks(): void {
    const excess = this.#blocks.size - this.options.capacityBlocks;
    if (excess <= 0) return;
    const evictedBlocks = [...this.#blocks].slice(0, excess);
    for (const block of evictedBlocks) this.#blocks.delete(block);
    this.#recordEvent('evicted', evictedBlocks);
  }

  #recordEvent(kind: CacheEvent['kind'], pieces: string[]): void {
    this.#lastSequence += 1;
    const { eventLossInterval } = this.options;
    if (eventLossInterval > 0 && this.#lastSequence % eventLossInterval === 0)
      return;
    const event = {
      sequence: this.#lastSequence,
      kind,
      pieces,
      atMs: Date.now(),
    };
    this.#events = [...this.#events.slice(1 - maxRetainedEvents), event];
  }
}
