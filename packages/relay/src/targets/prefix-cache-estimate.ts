/** Estimates which prompt segments an engine has in its prefix cache. */
import type { PromptSegment } from '../requests/relay-request.js';

/** A prompt segment that the engine is assumed to have cached. */
interface CachedSegment {
  readonly tokens: number;
  /** Monotonic milliseconds from which on other engines can copy the segment. */
  readonly copyableAtMs: number;
}

/** Simulates the engine's cache with least-recently-used eviction. */
export class PrefixCacheEstimate {
  /** By segment id; the least recently used segment is first. */
  readonly #segments = new Map<string, CachedSegment>();
  #totalTokens = 0;

  /**
   * `getCapacityTokens` returns the capacity, which includes the tokens of running
   * requests. It is read at each use: after a restart, engines are known before the
   * configuration that states it.
   */
  constructor(private readonly getCapacityTokens: () => number) {}

  /**
   * Records segments that the engine starts to prefill or copy now. Other engines
   * can copy them after `copyableInMs`, or earlier if they were already cached.
   */
  addSegments(segments: readonly PromptSegment[], copyableInMs = 0): void {
    const newCopyableAtMs = performance.now() + copyableInMs;
    for (const { id, tokens } of segments) {
      const existing = this.#segments.get(id);
      this.#totalTokens += tokens - (existing?.tokens ?? 0);
      this.#segments.delete(id);
      const copyableAtMs = Math.min(
        existing?.copyableAtMs ?? Infinity,
        newCopyableAtMs,
      );
      this.#segments.set(id, { tokens, copyableAtMs });
    }
    this.#evictLeastRecentlyUsed();
  }

  /** Tokens at the start of the prompt that the engine has in its cache. */
  countCachedTokens(segments: readonly PromptSegment[]): number {
    return this.#countPrefixTokens(segments, Infinity);
  }

  /** Tokens at the start of the prompt that another engine can copy now. */
  countCopyableTokens(segments: readonly PromptSegment[]): number {
    return this.#countPrefixTokens(segments, performance.now());
  }

  /** Forgets all segments, for an engine that has restarted. */
  clear(): void {
    this.#segments.clear();
    this.#totalTokens = 0;
  }

  #countPrefixTokens(
    segments: readonly PromptSegment[],
    latestCopyableAtMs: number,
  ): number {
    let tokens = 0;
    for (const { id, tokens: segmentTokens } of segments) {
      const segment = this.#segments.get(id);
      if (segment === undefined || segment.copyableAtMs > latestCopyableAtMs)
        break;
      tokens += segmentTokens;
    }
    return tokens;
  }

  #evictLeastRecentlyUsed(): void {
    const capacityTokens = this.getCapacityTokens();
    for (const [id, { tokens }] of this.#segments) {
      if (this.#totalTokens <= capacityTokens) return;
      this.#segments.delete(id);
      this.#totalTokens -= tokens;
    }
  }
}
