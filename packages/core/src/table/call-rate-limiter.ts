/**
 * Limits this instance's platform calls to its share of the deployment's rate.
 */
import { sleep } from '../shared/time.js';

/** Maximum rates of platform calls of the whole deployment. */
export interface CallRateLimits {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

const maxWaitStepMs = 250;

/**
 * A token bucket that holds at most one second's tokens. A call needs a
 * positive number of tokens and may make the number negative, so that a
 * transaction larger than one second's share is possible; later calls wait
 * until the number is positive again.
 */
export class CallRateLimiter {
  #availableTokens: number;
  #refilledAtMs = performance.now();

  /**
   * `getRatePerSecond` is called at each use, because an instance's share
   * changes with the number of instances.
   */
  constructor(private readonly getRatePerSecond: () => number) {
    this.#availableTokens = this.#getBurstSize();
  }

  /** Takes `units` tokens; false if that needs a wait longer than `waitMs`. */
  async acquire(units: number, waitMs: number): Promise<boolean> {
    const waitEndMs = performance.now() + waitMs;
    for (;;) {
      this.#refillBucket();
      if (this.#availableTokens > 0) {
        this.#availableTokens -= units;
        return true;
      }
      const neededMs =
        (1_000 * -this.#availableTokens) / this.getRatePerSecond() + 1;
      if (performance.now() + neededMs > waitEndMs) return false;
      await sleep(Math.min(neededMs, maxWaitStepMs));
    }
  }

  /** Milliseconds until the next call can take tokens. */
  get retryAfterMs(): number {
    this.#refillBucket();
    return Math.max(
      0,
      Math.ceil((1_000 * -this.#availableTokens) / this.getRatePerSecond()),
    );
  }

  /** Leaves at most one token, to avoid a burst of calls after an outage. */
  discardBurst(): void {
    this.#refillBucket();
    this.#availableTokens = Math.min(this.#availableTokens, 1);
  }

  #getBurstSize(): number {
    return Math.max(1, this.getRatePerSecond());
  }

  #refillBucket(): void {
    const nowMs = performance.now();
    const gainedTokens =
      ((nowMs - this.#refilledAtMs) * this.getRatePerSecond()) / 1_000;
    this.#availableTokens = Math.min(
      this.#getBurstSize(),
      this.#availableTokens + gainedTokens,
    );
    this.#refilledAtMs = nowMs;
  }
}
