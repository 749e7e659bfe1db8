/** Sums the loads reported by other instances until the reports expire. */
import { zeroLoad } from '../targets/target-state.js';
import type { TargetLoad } from '../targets/target-state.js';

import { loadReportTtlMs } from './load-report.js';
import type { LoadReport } from './load-report.js';

/** Loads from one sender with their receipt time on the monotonic clock. */
interface PeerLoadReport {
  readonly receivedAtMs: number;
  readonly loads: LoadReport['loads'];
}

/** Latest load report of each instance or aggregator. */
export class PeerLoads {
  readonly #reportsBySender = new Map<string, PeerLoadReport>();
  #reportedToAggregator: string | undefined;
  #ownReportedLoads: LoadReport['loads'] = [];

  /** Records the loads reported by an instance or an aggregator. */
  recordLoads(from: string, loads: LoadReport['loads']): void {
    this.#reportsBySender.set(from, { receivedAtMs: performance.now(), loads });
  }

  /**
   * Records the loads that this instance has reported to an aggregator. They are
   * part of the aggregator's sums from then on and must be subtracted.
   */
  recordOwnReportedLoads(to: string, loads: LoadReport['loads']): void {
    this.#reportedToAggregator = to;
    this.#ownReportedLoads = loads;
  }

  /** Returns the loads of the other instances by target; drops expired reports. */
  sumLoads(): Map<string, TargetLoad> {
    const sums = new Map<string, TargetLoad>();
    const nowMs = performance.now();
    for (const [from, { receivedAtMs, loads }] of this.#reportsBySender) {
      if (nowMs - receivedAtMs > loadReportTtlMs) {
        this.#reportsBySender.delete(from);
        continue;
      }
      addLoads(sums, loads, 1);
      if (from === this.#reportedToAggregator)
        addLoads(sums, this.#ownReportedLoads, -1);
    }
    return sums;
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
      pendingPrefillTokens: Math.max(
        0,
        sum.pendingPrefillTokens + sign * prefillTokens,
      ),
      activeRequestCount: Math.max(0, sum.activeRequestCount + sign * running),
    });
  }
};
