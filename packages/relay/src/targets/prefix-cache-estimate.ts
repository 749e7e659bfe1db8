/** Prompt parts that an engine probably keeps, least recently used first. */
import type { PromptSegment } from '../requests/relay-request.js';

interface CachedSegment {
  readonly tokens: number;
  /** Monotonic milliseconds from which another engine can copy the part. */
  readonly copyableAtMs: number;
}

export class PrefixCacheEstimate {
  readonly #segments = new Map<string, CachedSegment>();
  #totalTokens = 0;

  /** `capacity` in tokens, those of running requests included. */
  constructor(private readonly capacityTokens: number) {}

  /**
   * Notes parts that the engine reads or copies now and has within the time.
   * What it kept before stays ready.
   */
  addSegments(parts: readonly PromptSegment[], readyInMs = 0): void {
    const readyAtMs = performance.now() + readyInMs;
    for (const { id, tokens } of parts) {
      const held = this.#segments.get(id);
      this.#totalTokens += tokens - (held?.tokens ?? 0);
      this.#segments.delete(id);
      const ready = Math.min(held?.copyableAtMs ?? Infinity, readyAtMs);
      this.#segments.set(id, { tokens, copyableAtMs: ready });
    }
    this.#evictLeastRecentlyUsed();
  }

  /** Tokens at the start of the prompt that need not be read again. */
  countCachedTokens(parts: readonly PromptSegment[]): number {
    return this.#countPrefixTokens(parts, Infinity);
  }

  /** Tokens at the start of the prompt that another engine can copy now. */
  countCopyableTokens(parts: readonly PromptSegment[]): number {
    return this.#countPrefixTokens(parts, performance.now());
  }

  clear(): void {
    this.#segments.clear();
    this.#totalTokens = 0;
  }

  #countPrefixTokens(
    parts: readonly PromptSegment[],
    readyByMs: number,
  ): number {
    let tokens = 0;
    for (const { id, tokens: size } of parts) {
      const kept = this.#segments.get(id);
      if (kept === undefined || kept.copyableAtMs > readyByMs) break;
      tokens += size;
    }
    return tokens;
  }

  #evictLeastRecentlyUsed(): void {
    for (const [id, { tokens }] of this.#segments) {
      if (this.#totalTokens <= this.capacityTokens) return;
      this.#segments.delete(id);
      this.#totalTokens -= tokens;
    }
  }
}
