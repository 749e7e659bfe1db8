/**
 * Tells whether requests run at targets. Periodic work that only requests make
 * necessary waits here: it is seldom done while none run, and what is due at about the
 * same time shares one timer, because each wake-up of the event loop costs more than
 * the work itself. What is judged at the end of a pause has seen all data that had arrived.
 */

import { startReadFirstTimeout } from '@medlarlever/core';

/** Pauses end at multiples of this time of the monotonic clock. */
const stepMs = 50;

/** Interval of the checks of running sends. */
const checkIntervalMs = 100;

/** The instance counts as active until this long after its last request. */
const idleAfterMs = 1_000;

/** How long a pause lasts. */
export interface PauseLengths {
  /** While requests run. */
  readonly activeMs: number;
  /** While none do. A request that starts ends the rest, and `activeMs` follow. */
  readonly restMs: number;
}

/**
 * Called at the check interval. `lateMs` is how much later than due, because this process
 * stood still: time in which nothing could have been seen of others.
 */
export type PeriodicCheck = (lateMs: number) => void;

/** Pauses that end at the same step. */
interface Step {
  readonly cancel: () => void;
  readonly waiters: Set<() => void>;
}

/** Counts the requests of this instance that run at targets. */
export class RequestActivity {
  #runningCount = 0;
  #lastActiveMs = performance.now();
  readonly #restingWaiters = new Set<(wasWoken: boolean) => void>();
  readonly #stepsByEndMs = new Map<number, Step>();
  readonly #checks = new Set<PeriodicCheck>();
  #isChecking = false;

  /** True if no request runs and the last one ended a while ago. */
  get isIdle(): boolean {
    return (
      this.#runningCount === 0 &&
      performance.now() - this.#lastActiveMs > idleAfterMs
    );
  }

  /** Counts a request until the returned function is called. */
  startRequest(): () => void {
    this.#runningCount += 1;
    this.wake();
    return () => {
      this.#runningCount -= 1;
      this.#lastActiveMs = performance.now();
    };
  }

  /** Ends the rests that are under way, as a request does that starts. */
  wake(): void {
    this.#lastActiveMs = performance.now();
    for (const endRest of this.#restingWaiters) endRest(true);
  }

  /**
   * Calls the function at the check interval, with one timer for all, until the
   * returned one is called.
   */
  addCheck(check: PeriodicCheck): () => void {
    this.#checks.add(check);
    if (!this.#isChecking) this.#scheduleChecks();
    return () => this.#checks.delete(check);
  }

  /** Resolves to true after the pause, or to false if the signal aborts. */
  async pause(lengths: PauseLengths, signal: AbortSignal): Promise<boolean> {
    if (!this.isIdle) return this.#sleepToStep(lengths.activeMs, signal);
    const wasWoken = await this.#rest(lengths.restMs, signal);
    return wasWoken
      ? this.#sleepToStep(lengths.activeMs, signal)
      : !signal.aborted;
  }

  /** Resolves to true if a request ended the rest. */
  #rest(ms: number, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    return new Promise(resolve => {
      const endRest = (wasWoken: boolean) => {
        clearTimeout(timer);
        signal.removeEventListener('abort', abort);
        this.#restingWaiters.delete(endRest);
        resolve(wasWoken);
      };
      const abort = () => {
        endRest(false);
      };
      const timer = Number.isFinite(ms)
        ? setTimeout(endRest, ms, false)
        : undefined;
      signal.addEventListener('abort', abort, { once: true });
      this.#restingWaiters.add(endRest);
    });
  }

  #scheduleChecks(): void {
    this.#isChecking = this.#checks.size > 0;
    if (!this.#isChecking) return;
    const { nowMs, endMs } = getStepAfter(checkIntervalMs);
    this.#getStep(endMs, nowMs).waiters.add(() => {
      const lateMs = Math.max(0, performance.now() - endMs);
      this.#scheduleChecks();
      for (const check of this.#checks) runApart(check, lateMs);
    });
  }

  #sleepToStep(ms: number, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    const { nowMs, endMs } = getStepAfter(ms);
    return new Promise(resolve => {
      const step = this.#getStep(endMs, nowMs);
      const end = () => {
        signal.removeEventListener('abort', abort);
        resolve(true);
      };
      const abort = () => {
        step.waiters.delete(end);
        if (step.waiters.size === 0) this.#dropStep(endMs, step);
        resolve(false);
      };
      step.waiters.add(end);
      signal.addEventListener('abort', abort, { once: true });
    });
  }

  #getStep(endMs: number, nowMs: number): Step {
    const existing = this.#stepsByEndMs.get(endMs);
    if (existing !== undefined) return existing;
    const cancel = startReadFirstTimeout(() => {
      this.#stepsByEndMs.delete(endMs);
      for (const end of step.waiters) end();
    }, endMs - nowMs);
    const step: Step = { cancel, waiters: new Set() };
    this.#stepsByEndMs.set(endMs, step);
    return step;
  }

  #dropStep(endMs: number, { cancel }: Step): void {
    cancel();
    this.#stepsByEndMs.delete(endMs);
  }
}

/** Returns the time now, and the step that ends the nearest to `ms` from now. */
const getStepAfter = (ms: number) => {
  const nowMs = performance.now();
  const endMs = Math.max(1, Math.round((nowMs + ms) / stepMs)) * stepMs;
  return { nowMs, endMs };
};

/** Runs a check whose defect must not keep the others from running. */
const runApart = (check: PeriodicCheck, lateMs: number): void => {
  try {
    check(lateMs);
  } catch (error) {
    queueMicrotask(() => {
      throw error;
    });
  }
};
