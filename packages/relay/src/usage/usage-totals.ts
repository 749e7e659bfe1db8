/** Totals of all instances, as they reported them. */
import { z } from 'zod';

export const customerCountsSchema = z.record(
  z.string(),
  z.number().int().nonnegative(),
);
/** Number of requests by the name of the customer. */
export type CustomerCounts = z.infer<typeof customerCountsSchema>;

export const windowTotalsSchema = z.tuple([
  z.number().int(),
  customerCountsSchema,
]);
/** A window and totals of customers in it. */
export type WindowTotals = z.infer<typeof windowTotalsSchema>;

/** Totals by window for each incarnation of an instance. */
type IncarnationTotals = Map<number, Map<string, number>>;

/** Merges totals that may arrive twice or in another order. */
export class UsageTotals {
  readonly #totals = new Map<string, IncarnationTotals>();
  /** Last window of which an incarnation has sent all that it counted. */
  readonly #finalWindows = new Map<string, number>();

  /** Records totals of an incarnation. Counts only rise, so the larger one holds. */
  recordTotals(incarnation: string, totals: readonly WindowTotals[]): void {
    const windows: IncarnationTotals =
      this.#totals.get(incarnation) ?? new Map<number, Map<string, number>>();
    this.#totals.set(incarnation, windows);
    for (const [window, counts] of totals) {
      const known = windows.get(window) ?? new Map<string, number>();
      windows.set(window, known);
      for (const [customer, total] of Object.entries(counts))
        known.set(customer, Math.max(total, known.get(customer) ?? 0));
    }
  }

  /** Records that the incarnation will send no more of this and earlier windows. */
  recordFinal(incarnation: string, window: number): void {
    const known = this.#finalWindows.get(incarnation) ?? window;
    this.#finalWindows.set(incarnation, Math.max(window, known));
  }

  /**
   * True if no incarnation that counted requests in the window or in the one
   * before it may still send some of the window.
   */
  isComplete(window: number): boolean {
    return [...this.#totals].every(
      ([incarnation, windows]) =>
        !(windows.has(window) || windows.has(window - 1)) ||
        (this.#finalWindows.get(incarnation) ?? -Infinity) >= window,
    );
  }

  /** Sums the totals of all incarnations in the window. */
  sumWindow(window: number): CustomerCounts {
    const sums = new Map<string, number>();
    for (const windows of this.#totals.values()) {
      for (const [customer, total] of windows.get(window) ?? [])
        sums.set(customer, (sums.get(customer) ?? 0) + total);
    }
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Lists the totals of each incarnation from the window on. */
  listTotals(
    fromWindow: number,
  ): readonly (readonly [incarnation: string, totals: WindowTotals[]])[] {
    return [...this.#totals].map(([incarnation, windows]) => [
      incarnation,
      [...windows]
        .filter(([window]) => window >= fromWindow)
        .map(([window, counts]): WindowTotals => [
          window,
          Object.fromEntries(counts),
        ]),
    ]);
  }

  /** Forgets the windows before the given one. */
  forgetBefore(window: number): void {
    for (const [incarnation, windows] of this.#totals) {
      for (const known of windows.keys())
        if (known < window) windows.delete(known);
      if (windows.size > 0) continue;
      this.#totals.delete(incarnation);
      this.#finalWindows.delete(incarnation);
    }
  }
}
