/** How fast the engines of a service read prompts, from own measurements. */

/** Prompt tokens a millisecond until something was measured. */
const initialTokensPerMs = 25;

/** Shorter readings are mostly fixed cost. */
const minSampleTokens = 1_500;

/** Weight of a sample once there are many; the first ones count for more. */
const minSampleWeight = 0.1;

/** Time of a prefill beside reading: admission, a step and the network. */
export const prefillOverheadMs = 20;

export class PrefillSpeed {
  #tokensPerMs = initialTokensPerMs;
  #sampleCount = 0;

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Milliseconds to read the tokens at a prefill engine. */
  estimatePrefillMs(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  /** Takes in how long the tokens took, those waiting before them included. */
  addSample(tokens: number, tookMs: number): void {
    if (tokens < minSampleTokens) return;
    const speed = tokens / Math.max(1, tookMs - prefillOverheadMs);
    const bounded = Math.min(4 * this.#tokensPerMs, Math.max(1, speed));
    this.#sampleCount += 1;
    const share = Math.max(minSampleWeight, 1 / (this.#sampleCount + 1));
    this.#tokensPerMs += share * (bounded - this.#tokensPerMs);
  }
}
