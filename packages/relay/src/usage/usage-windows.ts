/** Decides which windows are closed, skipped and given up. */
import type { UsageRows, UsageState } from './usage-rows.js';
import type { CustomerCounts } from './usage-totals.js';

/**
 * Time from the end of a window until it is closed at the earliest. It covers the
 * interval of the instances' messages and their way.
 */
const closeDelayMs = 2_000;

/** Share of the time until a report is due for which missing totals are awaited. */
const awaitedShareOfDelay = 0.5;

/**
 * Time after a report is due for which it is kept and repeated. A late report is
 * still correct, while an earlier end would lose the window.
 */
const lateRetryMs = 60_000;

/** Difference between the clocks of two instances that is allowed for. */
const maxClockSkewMs = 1_000;

/** Windows that are recorded one by one as missed after all instances were away. */
const maxSkippedWindows = 100;

/** Windows that are written in one transaction. */
const maxWindowsPerTransaction = 8;

/** Timing of the reports. */
export interface UsageTiming {
  /** Length of a window; window 0 begins at the Unix epoch. */
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due. */
  readonly maxDelayMs: number;
}

/** Number of windows, before the current one, that may still be reported. */
export const countKeptWindows = ({
  windowMs,
  maxDelayMs,
}: UsageTiming): number => Math.ceil((maxDelayMs + lateRetryMs) / windowMs) + 1;

export const getWindowEndMs = (
  window: number,
  { windowMs }: UsageTiming,
): number => (window + 1) * windowMs;

/** True once the report of the window is overdue. */
export const isWindowLate = (
  window: number,
  timing: UsageTiming,
  nowMs: number,
): boolean => nowMs >= getWindowEndMs(window, timing) + timing.maxDelayMs;

/** True once the window is not reported any more. */
export const isWindowGivenUp = (
  window: number,
  timing: UsageTiming,
  nowMs: number,
): boolean =>
  nowMs >= getWindowEndMs(window, timing) + timing.maxDelayMs + lateRetryMs;

/** First window that is not given up yet. */
const getFirstKeptWindow = (timing: UsageTiming, nowMs: number): number =>
  Math.floor((nowMs - timing.maxDelayMs - lateRetryMs) / timing.windowMs);

/** What a new term knows. */
export interface TermStart {
  readonly timing: UsageTiming;
  readonly rows: UsageRows;
  /** Era of the store. */
  readonly era: number;
  /** Reports that this process knows to have been written. */
  readonly knownReports: ReadonlyMap<number, CustomerCounts>;
  /** Known reports that were accepted, and need no row any more. */
  readonly acceptedWindows: ReadonlySet<number>;
  /** Time at which the lease was acquired. */
  readonly acquiredAtMs: number;
  /** Time at which the first instance started, as far as known. */
  readonly firstStartMs: number;
}

/** Where a term begins. */
export interface TermPlan {
  readonly state: UsageState;
  /** Reports without a row, which are written before any other report. */
  readonly lostReports: ReadonlyMap<number, CustomerCounts>;
  /**
   * Windows that are not reported: they are too old, or may have been reported with
   * counts that are lost.
   */
  readonly skippedWindows: readonly number[];
}

const listWindows = (from: number, to: number): number[] =>
  Array.from({ length: Math.max(0, to - from) }, (_, i) => from + i);

/**
 * Plans a term from the rows. If the store was restored since they were written,
 * rows may be missing of reports that the platform has accepted. Then only
 * windows that no earlier holder can have closed get new rows.
 */
export const planTerm = (start: TermStart): TermPlan => {
  const { rows, era, timing, acquiredAtMs, knownReports } = start;
  const { acceptedWindows } = start;
  const { windowMs } = timing;
  const firstKept = getFirstKeptWindow(timing, acquiredAtMs);
  const none = new Map<number, CustomerCounts>();
  if (rows.state?.era === era) {
    const { nextWindow } = rows.state;
    const state = { era, nextWindow: Math.max(nextWindow, firstKept) };
    const skippedFrom = Math.max(nextWindow, firstKept - maxSkippedWindows);
    const skippedWindows = listWindows(skippedFrom, firstKept);
    return { state, lostReports: none, skippedWindows };
  }
  if (rows.state === undefined && era === 0) {
    const nextWindow = Math.floor(start.firstStartMs / windowMs);
    const state = { era, nextWindow: Math.max(nextWindow, firstKept) };
    return { state, lostReports: none, skippedWindows: [] };
  }
  const lostReports = new Map(
    [...knownReports].filter(
      ([window]) =>
        window >= firstKept &&
        !acceptedWindows.has(window) &&
        !rows.reports.has(window),
    ),
  );
  const firstUnclosed = Math.floor(
    (acquiredAtMs - closeDelayMs + maxClockSkewMs) / windowMs,
  );
  const afterKnown = Math.max(...knownReports.keys(), -Infinity) + 1;
  const nextWindow = Math.max(
    firstUnclosed,
    afterKnown,
    rows.state?.nextWindow ?? 0,
  );
  const skippedWindows = listWindows(
    Math.max(rows.state?.nextWindow ?? firstKept, firstKept),
    nextWindow,
  ).filter(window => !knownReports.has(window) && !rows.reports.has(window));
  return { state: { era, nextWindow }, lostReports, skippedWindows };
};

/** What is known when windows are closed. */
export interface ClosingView {
  readonly timing: UsageTiming;
  readonly nowMs: number;
  /** First window without a row. */
  readonly nextWindow: number;
  /** True if no instance is known that may still send totals of the window. */
  readonly isComplete: (window: number) => boolean;
}

/** Windows to close now; those before them that are not in the list are given up. */
export interface ClosingPlan {
  readonly closedWindows: readonly number[];
  readonly givenUpWindows: readonly number[];
  readonly nextWindow: number;
}

const isClosable = (
  window: number,
  { timing, nowMs, isComplete }: ClosingView,
): boolean => {
  const sinceEndMs = nowMs - getWindowEndMs(window, timing);
  if (sinceEndMs < closeDelayMs) return false;
  return (
    sinceEndMs >= awaitedShareOfDelay * timing.maxDelayMs || isComplete(window)
  );
};

/** Selects the windows to close, in their order. */
export const planClosing = (view: ClosingView): ClosingPlan => {
  const { timing, nowMs, nextWindow } = view;
  const firstKept = Math.max(nextWindow, getFirstKeptWindow(timing, nowMs));
  const closedWindows: number[] = [];
  let window = firstKept;
  while (
    closedWindows.length < maxWindowsPerTransaction &&
    isClosable(window, view)
  ) {
    closedWindows.push(window);
    window += 1;
  }
  return {
    closedWindows,
    givenUpWindows: listWindows(nextWindow, firstKept),
    nextWindow: window,
  };
};
