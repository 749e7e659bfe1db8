/** Sums the loads reported by other instances until the reports expire. */
import { maxReportLagMs } from '../room/engine-room.js';
import { zeroLoad } from '../targets/target-state.js';
import type { TargetLoad } from '../targets/target-state.js';

import { loadReportTtlMs } from './load-report.js';
import type { LoadReport } from './load-report.js';

/** Loads and held tokens of one sender. */
type ReportedLoads = Pick<LoadReport, 'from' | 'loads' | 'held'>;

/** A report with the time of its receipt or dispatch on the monotonic clock. */
interface TimedReport {
  readonly atMs: number;
  readonly report: ReportedLoads;
}

/** Latest load report of each instance or aggregator. */
export class PeerLoads {
  readonly #reportsBySender = new Map<string, TimedReport>();
  #reportedToAggregator: string | undefined;
  /** Latest own report, and those that the aggregator's sum may still hold instead. */
  #ownReports: TimedReport[] = [];

  /** Records the loads reported by an instance or an aggregator. */
  recordReport(report: ReportedLoads): void {
    const atMs = performance.now();
    this.#reportsBySender.set(report.from, { atMs, report });
  }

  /**
   * Records what this instance has reported to an aggregator. It is part of the
   * aggregator's sums from then on and must be subtracted.
   */
  recordOwnReport(to: string, report: ReportedLoads): void {
    const atMs = performance.now();
    const sinceMs = atMs - maxReportLagMs;
    const firstRecent = this.#ownReports.findIndex(own => own.atMs > sinceMs);
    const firstKept =
      firstRecent === -1
        ? this.#ownReports.length - 1
        : Math.max(0, firstRecent - 1);
    this.#ownReports =
      to === this.#reportedToAggregator
        ? this.#ownReports.slice(Math.max(0, firstKept))
        : [];
    this.#reportedToAggregator = to;
    this.#ownReports.push({ atMs, report });
  }

  /** Returns the loads of the other instances by target; drops expired reports. */
  sumLoads(): Map<string, TargetLoad> {
    const sums = new Map<string, TargetLoad>();
    const nowMs = performance.now();
    for (const [from, { atMs, report }] of this.#reportsBySender) {
      if (nowMs - atMs > loadReportTtlMs) {
        this.#reportsBySender.delete(from);
        continue;
      }
      addLoads(sums, report.loads, 1);
      addHeldTokens(sums, report.held, 1);
      if (from === this.#reportedToAggregator) this.#subtractOwnLoads(sums);
    }
    return sums;
  }

  /**
   * Subtracts what this instance reported. The aggregator's sum may still hold an
   * earlier report, so only the fewest tokens of the recent ones are subtracted: too
   * many would hide requests of other instances, which may overfill an engine.
   */
  #subtractOwnLoads(sums: Map<string, TargetLoad>): void {
    const latest = this.#ownReports.at(-1)?.report;
    addLoads(sums, latest?.loads ?? [], -1);
    const reports = this.#ownReports.map(({ report }) => report.held ?? []);
    const held = latest?.held?.map(([id, , requests]) => {
      const tokens = reports.map(
        entries => entries.find(([target]) => target === id)?.[1] ?? 0,
      );
      return [id, Math.min(...tokens), requests] as const;
    });
    addHeldTokens(sums, held, -1);
  }
}

/** Adds the loads to the sums, or subtracts them, never going below zero. */
const addLoads = (
  sums: Map<string, TargetLoad>,
  loads: LoadReport['loads'],
  sign: 1 | -1,
): void => {
  for (const [id, prefillTokens, running] of loads) {
    const sum = sums.get(id) ?? zeroLoad;
    sums.set(id, {
      ...sum,
      pendingPrefillTokens: Math.max(
        0,
        sum.pendingPrefillTokens + sign * prefillTokens,
      ),
      activeRequestCount: Math.max(0, sum.activeRequestCount + sign * running),
    });
  }
};

/** Adds held tokens to the sums, or subtracts them, never going below zero. */
const addHeldTokens = (
  sums: Map<string, TargetLoad>,
  held: readonly (readonly [string, number, number])[] = [],
  sign: 1 | -1,
): void => {
  for (const [id, tokens, requests] of held) {
    const sum = sums.get(id) ?? zeroLoad;
    const { heldTokens = 0, countedRequests = 0 } = sum;
    sums.set(id, {
      ...sum,
      heldTokens: Math.max(0, heldTokens + sign * tokens),
      countedRequests: Math.max(0, countedRequests + sign * requests),
    });
  }
};
