/** Loads that other instances told of, as long as they are believed. */
import { noLoad } from '../targets/target-state.js';
import type { TargetLoad } from '../targets/target-state.js';

import { loadReportTtlMs } from './load-report.js';
import type { LoadReport } from './load-report.js';

interface PeerLoadReport {
  readonly receivedAtMs: number;
  readonly loads: LoadReport['loads'];
}

/** Who told what, and when. */
export class PeerLoads {
  readonly #reportsBySender = new Map<string, PeerLoadReport>();
  #reportedToAggregator: string | undefined;
  #ownReportedLoads: LoadReport['loads'] = [];

  /** Takes in the loads that an instance or a hub told. */
  recordLoads(from: string, loads: LoadReport['loads']): void {
    this.#reportsBySender.set(from, { receivedAtMs: performance.now(), loads });
  }

  /** Notes the own loads that the sums of this hub contain from now on. */
  recordOwnReportedLoads(to: string, loads: LoadReport['loads']): void {
    this.#reportedToAggregator = to;
    this.#ownReportedLoads = loads;
  }

  /** Loads of the others by target. */
  sumLoads(): Map<string, TargetLoad> {
    const sums = new Map<string, TargetLoad>();
    const nowMs = performance.now();
    for (const [from, { receivedAtMs: atMs, loads }] of this.#reportsBySender) {
      if (nowMs - atMs > loadReportTtlMs) {
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

const addLoads = (
  sums: Map<string, TargetLoad>,
  loads: LoadReport['loads'],
  sign: 1 | -1,
): void => {
  for (const [id, unreadTokens, running] of loads) {
    const sum = sums.get(id) ?? noLoad;
    sums.set(id, {
      pendingPrefillTokens: Math.max(
        0,
        sum.pendingPrefillTokens + sign * unreadTokens,
      ),
      activeRequestCount: Math.max(0, sum.activeRequestCount + sign * running),
    });
  }
};
