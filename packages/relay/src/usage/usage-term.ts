/** The reports of one term of the lease's holder, and the rows that hold them. */
import { createWrittenVersion } from '@medlarlever/core';
import type { RowVersion } from '@medlarlever/core';

import type { UsageRowChanges, UsageRows, UsageState } from './usage-rows.js';
import type { CustomerCounts } from './usage-totals.js';
import type { TermPlan } from './usage-windows.js';

/** Rows that are added or removed in one transaction, which holds 25 writes. */
const maxChangesPerKind = 8;

/** A window and its counts. */
export type WindowReport = readonly [window: number, counts: CustomerCounts];

/** Rows as they are after the last confirmed write. */
export class UsageTerm {
  #state: UsageState;
  #stateVersion: RowVersion | undefined;
  /** Reports that have a row. */
  readonly #reports: Map<number, CustomerCounts>;
  /** Reports that lost their row; it is written again before anything is reported. */
  readonly #lostReports: Map<number, CustomerCounts>;
  /** Reports that need no more calls; the next write removes their rows. */
  readonly #settledWindows = new Set<number>();

  constructor(rows: UsageRows, { state, lostReports }: TermPlan) {
    this.#state = state;
    this.#stateVersion = rows.stateVersion;
    this.#reports = new Map(rows.reports);
    this.#lostReports = new Map(lostReports);
  }

  /** First window that has never had a row. */
  get nextWindow(): number {
    return this.#state.nextWindow;
  }

  get hasLostReports(): boolean {
    return this.#lostReports.size > 0;
  }

  /** Windows with a row whose report is neither accepted nor given up, in order. */
  listUnsettledWindows(): number[] {
    return [...this.#reports.keys()]
      .filter(window => !this.#settledWindows.has(window))
      .sort((a, b) => a - b);
  }

  getCounts(window: number): CustomerCounts {
    return this.#reports.get(window) ?? {};
  }

  /** Marks the report as accepted or given up. */
  settleWindow(window: number): void {
    this.#settledWindows.add(window);
  }

  /** Passes over windows that get no row any more. */
  skipTo(nextWindow: number): void {
    this.#state = { ...this.#state, nextWindow };
  }

  /**
   * Plans the next write, which adds the closed windows. Lost reports go first, and
   * the windows then wait for the next write.
   */
  planChanges(closed: readonly WindowReport[]): UsageRowChanges {
    const added = this.hasLostReports ? [...this.#lostReports] : closed;
    const lastClosed = this.hasLostReports ? undefined : closed.at(-1)?.[0];
    return {
      state: {
        ...this.#state,
        nextWindow: lastClosed === undefined ? this.nextWindow : lastClosed + 1,
      },
      stateVersion: this.#stateVersion,
      added: added.slice(0, maxChangesPerKind),
      removed: [...this.#settledWindows].slice(0, maxChangesPerKind),
    };
  }

  /** Takes over changes that were committed. */
  applyChanges({ state, added, removed }: UsageRowChanges): void {
    this.#stateVersion = createWrittenVersion(this.#stateVersion, state.era);
    this.#state = state;
    for (const [window, counts] of added) {
      this.#reports.set(window, counts);
      this.#lostReports.delete(window);
    }
    for (const window of removed) {
      this.#reports.delete(window);
      this.#settledWindows.delete(window);
    }
  }
}
