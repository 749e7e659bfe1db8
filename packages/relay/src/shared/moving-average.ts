/** Moving average of samples. */

/**
 * Smallest weight of a new sample in the average; the first samples weigh more.
 */
const minSampleWeight = 0.05;

/** Average in which newer samples weigh more. */
export class MovingAverage {
  #mean = 0;
  #sampleCount = 0;

  /** The average; undefined before the first sample. */
  get value(): number | undefined {
    return this.#sampleCount === 0 ? undefined : this.#mean;
  }

  /**
   * Adds a sample and returns the average before it; the first sample returns
   * itself.
   */
  addSample(sample: number): number {
    const previousMean = this.value ?? sample;
    this.#sampleCount += 1;
    const weight = Math.max(minSampleWeight, 1 / this.#sampleCount);
    this.#mean += weight * (sample - this.#mean);
    return previousMean;
  }
}
