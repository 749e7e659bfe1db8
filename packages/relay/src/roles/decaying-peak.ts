/** Peak of a load that comes in bursts, which is forgotten gradually. */

/** Time after which a peak counts half; bursts tend to come again sooner. */
const halfLifeMs = 15_000;

/** Largest recent value, halved with each `halfLifeMs` since it was seen. */
export class DecayingPeak {
  #peak = 0;
  #updatedAtMs = 0;

  /** Adds a value at a time of the monotonic clock and returns the peak. */
  addValue(value: number, nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    const decayedPeak = this.#peak * 0.5 ** (elapsedMs / halfLifeMs);
    this.#peak = Math.max(value, decayedPeak);
    this.#updatedAtMs = nowMs;
    return this.#peak;
  }
}
