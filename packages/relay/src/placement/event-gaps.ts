/**
 * Measures the time between the events of response streams, as observed by this
 * instance.
 */

/**
 * Smallest weight of a new sample in the average; the first samples weigh more.
 */
const minSampleWeight = 0.05;

/** Streams with fewer events give no usable mean gap. */
const minEventCount = 3;

/** Measures the gaps between the events of one stream. */
export class EventGapMeter {
  #firstEventAtMs = 0;
  #lastEventAtMs = 0;
  #eventCount = 0;

  /** Records that an event has just arrived. */
  recordEvent(): void {
    this.#lastEventAtMs = performance.now();
    if (this.#eventCount === 0) this.#firstEventAtMs = this.#lastEventAtMs;
    this.#eventCount += 1;
  }

  /** Mean time between events; undefined with fewer than `minEventCount`. */
  get meanGapMs(): number | undefined {
    if (this.#eventCount < minEventCount) return undefined;
    return (
      (this.#lastEventAtMs - this.#firstEventAtMs) / (this.#eventCount - 1)
    );
  }
}

/** Moving average of the gaps between events over all streams of a service. */
export class EventGapAverage {
  #meanGapMs = 0;
  #sampleCount = 0;

  /**
   * Adds a sample and returns the average before it; the first sample returns
   * itself.
   */
  addSample(gapMs: number): number {
    const expectedMs = this.#sampleCount === 0 ? gapMs : this.#meanGapMs;
    this.#sampleCount += 1;
    const weight = Math.max(minSampleWeight, 1 / this.#sampleCount);
    this.#meanGapMs += weight * (gapMs - this.#meanGapMs);
    return expectedMs;
  }
}
