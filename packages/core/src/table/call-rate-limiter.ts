/** Keeps the calls of this instance within its share of the platform's rate. */
import { sleep } from '../shared/time.js';

/** Rates of the whole deployment. */
export interface CallRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

const longestStepMs = 250;

/**
 * A token bucket whose rate is the deployment's divided by the live
 * instances. A call may take the level below zero, so that a transaction
 * larger than one second's share is possible; later calls wait for it.
 */
export class CallBudget {
  #level: number;
  #atMs = performance.now();

  /** `perSecond` is asked at each call, since instances come and go. */
  constructor(private readonly perSecond: () => number) {
    this.#level = this.#burst();
  }

  /** Waits for the units; false when they would come later than `waitMs`. */
  async take(units: number, waitMs: number): Promise<boolean> {
    const endMs = performance.now() + waitMs;
    for (;;) {
      this.#refill();
      if (this.#level > 0) {
        this.#level -= units;
        return true;
      }
      const neededMs = (1_000 * -this.#level) / this.perSecond() + 1;
      if (performance.now() + neededMs > endMs) return false;
      await sleep(Math.min(neededMs, longestStepMs));
    }
  }

  /** Milliseconds until the next call would be let through. */
  get retryAfterMs(): number {
    this.#refill();
    return Math.max(0, Math.ceil((1_000 * -this.#level) / this.perSecond()));
  }

  /** Removes what has gathered, so that an outage does not end in a burst. */
  drain(): void {
    this.#refill();
    this.#level = Math.min(this.#level, 1);
  }

  #burst(): number {
    return Math.max(1, this.perSecond());
  }

  #refill(): void {
    const nowMs = performance.now();
    const gained = ((nowMs - this.#atMs) * this.perSecond()) / 1_000;
    this.#level = Math.min(this.#burst(), this.#level + gained);
    this.#atMs = nowMs;
  }
}
