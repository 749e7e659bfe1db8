/** Counts the requests of each customer that targets began to run, by window. */
import type { TrueTime } from './true-time.js';
import type { CustomerCounts, WindowTotals } from './usage-totals.js';

/**
 * Furthest time in the past at which a request is counted. The start of a request
 * is known only when its answer begins; a window that ended longer ago may be
 * closed, and the request would be missing in all of them.
 */
const maxBackdatingMs = 1_200;

interface Count {
  total: number;
  /** Value of the change counter at the last change of `total`. */
  changedAt: number;
}

/** Dependencies of {@link UsageCounter}. */
export interface UsageCounterOptions {
  readonly time: TrueTime;
  /** Length of a window; window 0 begins at the Unix epoch. */
  readonly windowMs: number;
}

/** Counts of this instance. */
export class UsageCounter {
  readonly #options: UsageCounterOptions;
  readonly #windows = new Map<number, Map<string, Count>>();
  #changeCount = 0;
  /** Called after each change. */
  onChange: () => void = () => undefined;

  constructor(options: UsageCounterOptions) {
    this.#options = options;
  }

  /** Position of the last change; see `listChangedSince`. */
  get position(): number {
    return this.#changeCount;
  }

  /** Window of the present time. */
  get currentWindow(): number {
    return this.#getWindow(this.#options.time.nowMs);
  }

  /** Counts a request that a target began to run at the monotonic time. */
  recordRunStart(customer: string, startedAtMs: number): void {
    const atMs = Math.max(startedAtMs, performance.now() - maxBackdatingMs);
    const window = this.#getWindow(this.#options.time.toEpochMs(atMs));
    const counts = this.#getOrCreateCounts(window);
    const count = counts.get(customer) ?? { total: 0, changedAt: 0 };
    count.total += 1;
    this.#changeCount += 1;
    count.changedAt = this.#changeCount;
    counts.set(customer, count);
    this.onChange();
  }

  /** True if requests were counted in the window. */
  hasCounts(window: number): boolean {
    return this.#windows.has(window);
  }

  /** Totals that changed after the position, from the given window on. */
  listChangedSince(position: number, fromWindow: number): WindowTotals[] {
    return [...this.#windows]
      .filter(([window]) => window >= fromWindow)
      .map(([window, counts]): WindowTotals => [
        window,
        selectChanged(counts, position),
      ])
      .filter(([, counts]) => Object.keys(counts).length > 0);
  }

  /** Forgets the windows before the given one. */
  forgetBefore(window: number): void {
    for (const known of this.#windows.keys())
      if (known < window) this.#windows.delete(known);
  }

  #getWindow(epochMs: number): number {
    return Math.floor(epochMs / this.#options.windowMs);
  }

  #getOrCreateCounts(window: number): Map<string, Count> {
    const existing = this.#windows.get(window);
    if (existing !== undefined) return existing;
    const counts = new Map<string, Count>();
    this.#windows.set(window, counts);
    return counts;
  }
}

const selectChanged = (
  counts: ReadonlyMap<string, Count>,
  position: number,
): CustomerCounts =>
  Object.fromEntries(
    [...counts]
      .filter(([, { changedAt }]) => changedAt > position)
      .map(([customer, { total }]) => [customer, total]),
  );
