/** When calls to the platform may be sent again, and when another instance should try. */

const initialPauseMs = 500;
const maxPauseMs = 4_000;

/** Pause between calls for a report that is overdue. */
const latePauseMs = 5_000;

const initialRateLimitPauseMs = 1_000;
const maxRateLimitPauseMs = 8_000;

/** Share of the rate of the interface that the reports use at most. */
const shareOfRate = 0.5;

/** Time without any answer after which another instance should try. */
const unreachedTimeoutMs = 6_000;

/** Time for which this instance does not compete for the lease then. */
const impededMs = 8_000;

/**
 * Shortest time from one such attempt to the next. The interface may be down for
 * all instances, and each change of the holder costs the duties two lease
 * durations.
 */
const minHandoverIntervalMs = 60_000;
const msPerSecond = 1_000;

interface Attempts {
  count: number;
  /** Monotonic time from which the next call may be sent. */
  nextAtMs: number;
}

/** Outcome of a call; `unknown` if there was no usable answer. */
export type CallOutcome = 'accepted' | 'refused' | 'rate_limited' | 'unknown';

/** Paces the calls of the usage reports. */
export class CallPacing {
  readonly #attempts = new Map<number, Attempts>();
  /** Monotonic time from which any call may be sent. */
  #nextCallAtMs = 0;
  #rateLimitPauseMs = initialRateLimitPauseMs;
  #unreachedSinceMs: number | undefined;
  #impededUntilMs = 0;
  #nextHandoverAtMs = 0;

  constructor(private readonly getCallsPerSecond: () => number) {}

  /** True while another instance should hold the lease. */
  get isImpeded(): boolean {
    return performance.now() < this.#impededUntilMs;
  }

  /** Number of calls for the report. */
  countAttempts(window: number): number {
    return this.#attempts.get(window)?.count ?? 0;
  }

  /** Forgets the pauses of an earlier term, but not that the platform limits calls. */
  startTerm(): void {
    this.#attempts.clear();
    this.#unreachedSinceMs = undefined;
  }

  forgetWindow(window: number): void {
    this.#attempts.delete(window);
  }

  /** True if a call for the report may be sent now. */
  mayCall(window: number): boolean {
    const nowMs = performance.now();
    const nextAtMs = this.#attempts.get(window)?.nextAtMs ?? 0;
    return nowMs >= this.#nextCallAtMs && nowMs >= nextAtMs;
  }

  /** Records a call that has ended. */
  recordCall(window: number, outcome: CallOutcome, isLate: boolean): void {
    const nowMs = performance.now();
    const count = this.countAttempts(window) + 1;
    const pauseMs = isLate
      ? latePauseMs
      : Math.min(maxPauseMs, initialPauseMs * 2 ** (count - 1));
    this.#attempts.set(window, { count, nextAtMs: nowMs + pauseMs });
    this.#nextCallAtMs = nowMs + this.#computeCallGapMs(outcome);
    this.#recordReachability(outcome, nowMs);
  }

  #computeCallGapMs(outcome: CallOutcome): number {
    const gapMs = msPerSecond / (shareOfRate * this.getCallsPerSecond());
    if (outcome !== 'rate_limited') {
      this.#rateLimitPauseMs = initialRateLimitPauseMs;
      return gapMs;
    }
    const pauseMs = this.#rateLimitPauseMs;
    this.#rateLimitPauseMs = Math.min(maxRateLimitPauseMs, 2 * pauseMs);
    return Math.max(gapMs, pauseMs);
  }

  #recordReachability(outcome: CallOutcome, nowMs: number): void {
    if (outcome !== 'unknown') {
      this.#unreachedSinceMs = undefined;
      return;
    }
    this.#unreachedSinceMs ??= nowMs;
    const isUnreached = nowMs - this.#unreachedSinceMs >= unreachedTimeoutMs;
    if (!isUnreached || nowMs < this.#nextHandoverAtMs) return;
    this.#impededUntilMs = nowMs + impededMs;
    this.#nextHandoverAtMs = nowMs + minHandoverIntervalMs;
  }
}
