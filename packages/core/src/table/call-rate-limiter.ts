/** Keeps the calls of this instance within its share of the platform's rate. */
import { sleep } from '../shared/time.js';

/** Rates of the whole deployment. */
export interface CallRateLimits {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

const maxWaitStepMs = 250;

/**
 * A token bucket whose rate is the deployment's divided by the live
 * instances. A call may take the level below zero, so that a transaction
 * larger than one second's share is possible; later calls wait for it.
 */
export class CallRateLimiter {
  #availableTokens: number;
  #refilledAtMs = performance.now();

  /** `perSecond` is asked at each call, since instances come and go. */
  constructor(private readonly getRatePerSecond: () => number) {
    this.#availableTokens = this.#getBurstSize();
  }

  /** Waits for the units; false when they would come later than `waitMs`. */
  async acquire(units: number, waitMs: number): Promise<boolean> {
    const endMs = performance.now() + waitMs;
    for (;;) {
      this.#refillBucket();
      if (this.#availableTokens > 0) {
        this.#availableTokens -= units;
        return true;
      }
      const neededMs =
        (1_000 * -this.#availableTokens) / this.getRatePerSecond() + 1;
      if (performance.now() + neededMs > endMs) return false;
      await sleep(Math.min(neededMs, maxWaitStepMs));
    }
  }

  /** Milliseconds until the next call would be let through. */
  get retryAfterMs(): number {
    this.#refillBucket();
    return Math.max(
      0,
      Math.ceil((1_000 * -this.#availableTokens) / this.getRatePerSecond()),
    );
  }

  /** Removes what has gathered, so that an outage does not end in a burst. */
  discardBurst(): void {
    this.#refillBucket();
    this.#availableTokens = Math.min(this.#availableTokens, 1);
  }

  #getBurstSize(): number {
    return Math.max(1, this.getRatePerSecond());
  }

  #refillBucket(): void {
    const nowMs = performance.now();
    const gained =
      ((nowMs - this.#refilledAtMs) * this.getRatePerSecond()) / 1_000;
    this.#availableTokens = Math.min(
      this.#getBurstSize(),
      this.#availableTokens + gained,
    );
    this.#refilledAtMs = nowMs;
  }
}
