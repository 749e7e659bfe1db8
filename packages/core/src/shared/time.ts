/** Helpers on the runtime's clock, which tests pause and advance. */

/** Resolves after `ms`, or at once with `false` when the signal aborts. */
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

/** Resolves with `undefined` once the signal aborts. */
export const waitForAbort = (signal: AbortSignal): Promise<undefined> =>
  new Promise(resolve => {
    const onAbort = () => {
      resolve(undefined);
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, { once: true });
  });

/** Aborts after `ms` on the runtime's clock; keeps no process alive. */
export const createTimeoutSignal = (ms: number): AbortSignal => {
  const controller = new AbortController();
  const timer = setTimeout(() => {
    controller.abort();
  }, ms);
  timer.unref();
  return controller.signal;
};

/** Spreads a period by ±`share` so that instances do not act in step. */
export const addJitter = (
  ms: number,
  random: () => number,
  share = 0.2,
): number => ms * (1 + share * (2 * random() - 1));

/** A point in time by which an answer is due, in epoch milliseconds. */
export class Deadline {
  private constructor(readonly atMs: number) {}

  static after(ms: number): Deadline {
    return new Deadline(Date.now() + ms);
  }

  static fromEpochMs(epochMs: number): Deadline {
    return new Deadline(epochMs);
  }

  /** Milliseconds left; zero when passed. */
  get remainingMs(): number {
    return Math.max(0, this.atMs - Date.now());
  }

  get hasPassed(): boolean {
    return Date.now() >= this.atMs;
  }

  /** The earlier of this deadline and one `ms` from now. */
  limitTo(ms: number): Deadline {
    return new Deadline(Math.min(this.atMs, Date.now() + ms));
  }
}
