/**
 * Timers, jitter and deadlines on the runtime's clock, which tests can mock.
 */

/** Resolves to true after `ms` milliseconds, or to false on abort, at once. */
export const sleep = (ms: number, signal?: AbortSignal): Promise<boolean> =>
  new Promise(resolve => {
    if (signal?.aborted === true) {
      resolve(false);
      return;
    }
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', onAbort);
      resolve(true);
    }, ms);
    signal?.addEventListener('abort', onAbort, { once: true });
  });

/** Resolves when the signal aborts. */
export const waitForAbort = (signal: AbortSignal): Promise<undefined> =>
  new Promise(resolve => {
    const onAbort = () => {
      resolve(undefined);
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, { once: true });
  });

/** Signal that aborts after `ms` milliseconds; keeps no process running. */
export const createTimeoutSignal = (ms: number): AbortSignal => {
  const controller = new AbortController();
  const timer = setTimeout(() => {
    controller.abort();
  }, ms);
  timer.unref();
  return controller.signal;
};

/**
 * Varies a period by up to ±`ratio`, so that instances don't act at the same
 * time. `random` returns values from 0 to 1.
 */
export const addJitter = (
  ms: number,
  random: () => number,
  ratio = 0.2,
): number => ms * (1 + ratio * (2 * random() - 1));

/** Time by which a response is due, in milliseconds since the Unix epoch. */
export class Deadline {
  private constructor(readonly atMs: number) {}

  /** Deadline `ms` milliseconds from now. */
  static after(ms: number): Deadline {
    return new Deadline(Date.now() + ms);
  }

  static fromEpochMs(epochMs: number): Deadline {
    return new Deadline(epochMs);
  }

  /** Milliseconds from now to the deadline; 0 once it has passed. */
  get remainingMs(): number {
    return Math.max(0, this.atMs - Date.now());
  }

  get hasPassed(): boolean {
    return Date.now() >= this.atMs;
  }

  /**
   * Returns the earlier of this deadline and one `ms` milliseconds from now.
   */
  limitTo(ms: number): Deadline {
    return new Deadline(Math.min(this.atMs, Date.now() + ms));
  }
}
