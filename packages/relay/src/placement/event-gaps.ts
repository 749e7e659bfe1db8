/** How fast the engines of a service make events, from own measurements. */

/** Weight of a sample once there are many; the first ones count for more. */
const minSampleWeight = 0.05;

/** Fewer events do not tell a pace. */
const minEventCount = 3;

/** Events of one stream as they arrive. */
export class EventGapMeter {
  #firstEventAtMs = 0;
  #lastEventAtMs = 0;
  #eventCount = 0;

  recordEvent(): void {
    this.#lastEventAtMs = performance.now();
    if (this.#eventCount === 0) this.#firstEventAtMs = this.#lastEventAtMs;
    this.#eventCount += 1;
  }

  /** Mean time between two events; none when there were too few. */
  get meanGapMs(): number | undefined {
    if (this.#eventCount < minEventCount) return undefined;
    return (
      (this.#lastEventAtMs - this.#firstEventAtMs) / (this.#eventCount - 1)
    );
  }
}

/** Mean gap between the events of the service's streams. */
export class EventGapAverage {
  #meanGapMs = 0;
  #sampleCount = 0;

  /** Mean gap of the service so far; that of the sample when it is the first. */
  addSample(gapMs: number): number {
    const expectedMs = this.#sampleCount === 0 ? gapMs : this.#meanGapMs;
    this.#sampleCount += 1;
    const share = Math.max(minSampleWeight, 1 / this.#sampleCount);
    this.#meanGapMs += share * (gapMs - this.#meanGapMs);
    return expectedMs;
  }
}
