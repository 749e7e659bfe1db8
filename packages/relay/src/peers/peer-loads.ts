/** Loads that other instances told of, as long as they are believed. */
import { noLoad } from '../targets/target-state.js';
import type { TargetLoad } from '../targets/target-state.js';

import { believedMs } from './load-report.js';
import type { News } from './load-report.js';

interface HeardLoad {
  readonly atMs: number;
  readonly loads: News['loads'];
}

/** Who told what, and when. */
export class HeardLoads {
  readonly #heard = new Map<string, HeardLoad>();
  #reportedTo: string | undefined;
  #reported: News['loads'] = [];

  /** Takes in the loads that an instance or a hub told. */
  heard(from: string, loads: News['loads']): void {
    this.#heard.set(from, { atMs: performance.now(), loads });
  }

  /** Notes the own loads that the sums of this hub contain from now on. */
  reported(to: string, loads: News['loads']): void {
    this.#reportedTo = to;
    this.#reported = loads;
  }

  /** Loads of the others by target. */
  sums(): Map<string, TargetLoad> {
    const sums = new Map<string, TargetLoad>();
    const nowMs = performance.now();
    for (const [from, { atMs, loads }] of this.#heard) {
      if (nowMs - atMs > believedMs) {
        this.#heard.delete(from);
        continue;
      }
      add(sums, loads, 1);
      if (from === this.#reportedTo) add(sums, this.#reported, -1);
    }
    return sums;
  }
}

const add = (
  sums: Map<string, TargetLoad>,
  loads: News['loads'],
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
