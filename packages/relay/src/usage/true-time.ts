/** Time of day that does not follow short jumps of the system's clock. */

/** Smaller differences between the clocks are corrections and are followed at once. */
const maxCorrectionMs = 250;

/** Time for which a jump must have held before it is followed. */
const jumpConfirmationMs = 5_000;

/** A new difference between the clocks that is not followed yet. */
interface ClockJump {
  readonly offsetMs: number;
  /** Monotonic time at which the jump was first seen. */
  readonly sinceMs: number;
}

const measureOffsetMs = (): number => Date.now() - performance.now();

/**
 * Converts times of the monotonic clock to the time of day. A clock that is set
 * wrong for a moment would otherwise put requests into the wrong window.
 */
export class TrueTime {
  #offsetMs = measureOffsetMs();
  #jump: ClockJump | undefined;

  /** The present time in milliseconds since the Unix epoch. */
  get nowMs(): number {
    return this.toEpochMs(performance.now());
  }

  /** Converts a time of the monotonic clock. */
  toEpochMs(monotonicMs: number): number {
    this.#followClock();
    return monotonicMs + this.#offsetMs;
  }

  #followClock(): void {
    const offsetMs = measureOffsetMs();
    if (Math.abs(offsetMs - this.#offsetMs) <= maxCorrectionMs) {
      this.#offsetMs = offsetMs;
      this.#jump = undefined;
      return;
    }
    const nowMs = performance.now();
    const isSameJump =
      this.#jump !== undefined &&
      Math.abs(offsetMs - this.#jump.offsetMs) <= maxCorrectionMs;
    if (!isSameJump) this.#jump = { offsetMs, sinceMs: nowMs };
    const sinceMs = this.#jump?.sinceMs ?? nowMs;
    if (nowMs - sinceMs < jumpConfirmationMs) return;
    this.#offsetMs = offsetMs;
    this.#jump = undefined;
  }
}
