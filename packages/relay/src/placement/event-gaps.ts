/**
 * Measures the time between the events of response streams, as observed by this
 * instance.
 */

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

  /** Time from the first event to the last one; undefined before the first one. */
  get durationMs(): number | undefined {
    if (this.#eventCount === 0) return undefined;
    return this.#lastEventAtMs - this.#firstEventAtMs;
  }

  /** Mean time between events; undefined with fewer than `minEventCount`. */
  get meanGapMs(): number | undefined {
    if (this.#eventCount < minEventCount) return undefined;
    return (
      (this.#lastEventAtMs - this.#firstEventAtMs) / (this.#eventCount - 1)
    );
  }
}
