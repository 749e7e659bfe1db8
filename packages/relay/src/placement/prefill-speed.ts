/** How fast the engines of a service read prompts, from own measurements. */

/** Prompt tokens a millisecond until something was measured. */
const assumedSpeed = 25;

/** Shorter readings are mostly fixed cost. */
const smallestSampleTokens = 1_500;

/** Weight of a sample once there are many; the first ones count for more. */
const sampleShare = 0.1;

/** Time of a prefill beside reading: admission, a step and the network. */
export const readingOverheadMs = 20;

export class ReadingSpeed {
  #tokensPerMs = assumedSpeed;
  #samples = 0;

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Milliseconds to read the tokens at a prefill engine. */
  readingMs(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  /** Takes in how long the tokens took, those waiting before them included. */
  sample(tokens: number, tookMs: number): void {
    if (tokens < smallestSampleTokens) return;
    const speed = tokens / Math.max(1, tookMs - readingOverheadMs);
    const bounded = Math.min(4 * this.#tokensPerMs, Math.max(1, speed));
    this.#samples += 1;
    const share = Math.max(sampleShare, 1 / (this.#samples + 1));
    this.#tokensPerMs += share * (bounded - this.#tokensPerMs);
  }
}
