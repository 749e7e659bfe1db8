/** How fast the engines of a service make events, from own measurements. */

/** Weight of a sample once there are many; the first ones count for more. */
const sampleShare = 0.05;

/** Fewer events do not tell a pace. */
const fewestEvents = 3;

/** Events of one stream as they arrive. */
export class EventTimes {
  #firstMs = 0;
  #lastMs = 0;
  #events = 0;

  noted(): void {
    this.#lastMs = performance.now();
    if (this.#events === 0) this.#firstMs = this.#lastMs;
    this.#events += 1;
  }

  /** Mean time between two events; none when there were too few. */
  get gapMs(): number | undefined {
    if (this.#events < fewestEvents) return undefined;
    return (this.#lastMs - this.#firstMs) / (this.#events - 1);
  }
}

/** Mean gap between the events of the service's streams. */
export class EventPace {
  #gapMs = 0;
  #samples = 0;

  /** Mean gap of the service so far; that of the sample when it is the first. */
  sample(gapMs: number): number {
    const expectedMs = this.#samples === 0 ? gapMs : this.#gapMs;
    this.#samples += 1;
    const share = Math.max(sampleShare, 1 / this.#samples);
    this.#gapMs += share * (gapMs - this.#gapMs);
    return expectedMs;
  }
}
