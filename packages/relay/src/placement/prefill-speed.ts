/** Estimates the prefill speed of a service from this instance's measurements. */

/** Prompt tokens per millisecond assumed before the first sample. */
const initialTokensPerMs = 25;

/** Shorter prefills are ignored: fixed overhead dominates their duration. */
const minSampleTokens = 1_500;

/** Smallest weight of a new sample; the first samples weigh more. */
const minSampleWeight = 0.1;

/** Fixed overhead of a prefill: admission, one engine step and the network. */
export const prefillOverheadMs = 20;

/** Moving average of the prompt tokens per millisecond of a prefill engine. */
export class PrefillSpeed {
  #tokensPerMs = initialTokensPerMs;
  #sampleCount = 0;

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Expected time to prefill the tokens, without fixed overhead. */
  estimatePrefillMs(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  /**
   * Adds a measured prefill: `tokens` includes the tokens that were queued before
   * it, `elapsedMs` includes the fixed overhead.
   */
  addSample(tokens: number, elapsedMs: number): void {
    if (tokens < minSampleTokens) return;
    const sampleTokensPerMs =
      tokens / Math.max(1, elapsedMs - prefillOverheadMs);
    const boundedTokensPerMs = Math.min(
      4 * this.#tokensPerMs,
      Math.max(1, sampleTokensPerMs),
    );
    this.#sampleCount += 1;
    const weight = Math.max(minSampleWeight, 1 / (this.#sampleCount + 1));
    this.#tokensPerMs += weight * (boundedTokensPerMs - this.#tokensPerMs);
  }
}
