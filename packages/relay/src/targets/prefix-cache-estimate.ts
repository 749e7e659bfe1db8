/** Prompt parts that an engine probably keeps, least recently used first. */
import type { PromptPart } from '../requests/relay-request.js';

interface KeptPart {
  readonly tokens: number;
  /** Monotonic milliseconds from which another engine can copy the part. */
  readonly readyAtMs: number;
}

export class CachedParts {
  readonly #parts = new Map<string, KeptPart>();
  #total = 0;

  /** `capacity` in tokens, those of running requests included. */
  constructor(private readonly capacity: number) {}

  /**
   * Notes parts that the engine reads or copies now and has within the time.
   * What it kept before stays ready.
   */
  add(parts: readonly PromptPart[], readyInMs = 0): void {
    const readyAtMs = performance.now() + readyInMs;
    for (const { id, tokens } of parts) {
      const held = this.#parts.get(id);
      this.#total += tokens - (held?.tokens ?? 0);
      this.#parts.delete(id);
      const ready = Math.min(held?.readyAtMs ?? Infinity, readyAtMs);
      this.#parts.set(id, { tokens, readyAtMs: ready });
    }
    this.#evict();
  }

  /** Tokens at the start of the prompt that need not be read again. */
  cachedTokens(parts: readonly PromptPart[]): number {
    return this.#prefixTokens(parts, Infinity);
  }

  /** Tokens at the start of the prompt that another engine can copy now. */
  copyableTokens(parts: readonly PromptPart[]): number {
    return this.#prefixTokens(parts, performance.now());
  }

  clear(): void {
    this.#parts.clear();
    this.#total = 0;
  }

  #prefixTokens(parts: readonly PromptPart[], readyByMs: number): number {
    let tokens = 0;
    for (const { id, tokens: size } of parts) {
      const kept = this.#parts.get(id);
      if (kept === undefined || kept.readyAtMs > readyByMs) break;
      tokens += size;
    }
    return tokens;
  }

  #evict(): void {
    for (const [id, { tokens }] of this.#parts) {
      if (this.#total <= this.capacity) return;
      this.#parts.delete(id);
      this.#total -= tokens;
    }
  }
}
