/** Estimates the prefill speed of a service from this instance's measurements. */

/** Prompt tokens per millisecond assumed before the first sample. */
const initialTokensPerMs = 25;

/** Shorter prefills are ignored: fixed overhead dominates their duration. */
const minSampleTokens = 1_500;

/** Smallest weight of a new sample; the first samples weigh more. */
const minSampleWeight = 0.1;

/** Weight that a sample of the linear fit keeps when the next one is added. */
const fitDecay = 0.97;

/** Variance of the sizes, in tokens squared, below which they are too alike for a fit. */
const minFitVariance = 500 ** 2;

/** The fit is trusted up to this multiple of the plain average. */
const maxFitFactor = 3;

/** Fixed overhead of a prefill: admission, one engine step and the network. */
export const prefillOverheadMs = 20;

/** Moving average of the prompt tokens per millisecond of a prefill engine. */
export class PrefillSpeed {
  #tokensPerMs = initialTokensPerMs;
  #sampleCount = 0;
  readonly #fit = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };

  /**
   * Prompt tokens per millisecond of an engine that always has prompts. The plain average
   * is lower where part of the time of each prefill does not depend on its size.
   */
  get throughputTokensPerMs(): number {
    const { weight, x, y, xx, xy } = this.#fit;
    if (weight < 1) return this.#tokensPerMs;
    const variance = xx / weight - (x / weight) ** 2;
    const covariance = xy / weight - (x / weight) * (y / weight);
    if (variance < minFitVariance || covariance <= 0) return this.#tokensPerMs;
    return Math.min(
      maxFitFactor * this.#tokensPerMs,
      Math.max(this.#tokensPerMs, variance / covariance),
    );
  }

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
    this.#addToFit(tokens, elapsedMs);
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

  #addToFit(tokens: number, elapsedMs: number): void {
    const fit = this.#fit;
    fit.weight = fit.weight * fitDecay + 1;
    fit.x = fit.x * fitDecay + tokens;
    fit.y = fit.y * fitDecay + elapsedMs;
    fit.xx = fit.xx * fitDecay + tokens * tokens;
    fit.xy = fit.xy * fitDecay + tokens * elapsedMs;
  }
}
