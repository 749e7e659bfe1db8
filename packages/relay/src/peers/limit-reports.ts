/** Exchanges what targets said about their limits with the other instances. */
import type { Log } from '@medlarlever/core';

import type { ReportedLimit } from '../limits/reported-limit.js';
import { logTargetLimit } from '../targets/target-announcements.js';
import { getStartMs } from '../targets/target-record.js';
import type { TargetRegistry } from '../targets/target-registry.js';

/** Observations are repeated for this long, because reports may be lost. */
const repetitionMs = 3_000;

/** Dependencies of {@link LimitReports}. */
export interface LimitReportsOptions {
  readonly targets: TargetRegistry;
  readonly log: Log;
}

/** Lists this instance's observations and applies those of others. */
export class LimitReports {
  #lastListedLimits = '[]';

  constructor(private readonly options: LimitReportsOptions) {}

  /** True if a limit has begun, changed or ended since the last call of `list`. */
  get hasNews(): boolean {
    return serializeLimits(this.#collect()) !== this.#lastListedLimits;
  }

  /** Lists the recent observations of this instance. */
  list(): ReportedLimit[] {
    const limits = this.#collect();
    this.#lastListedLimits = serializeLimits(limits);
    return limits;
  }

  /** Applies the observations in a report that has just arrived. */
  apply(limits: readonly ReportedLimit[]): void {
    const nowMs = performance.now();
    for (const [id, startedAtMs, requestsPerSecond, ageMs] of limits) {
      const state = this.options.targets.findTarget(id);
      if (state === undefined || getStartMs(state.record) !== startedAtMs)
        continue;
      const { statement } = state.limiter;
      const hasChanged =
        requestsPerSecond === null
          ? statement.recordNoLimitFromPeer(nowMs - ageMs)
          : statement.recordLimitFromPeer(requestsPerSecond, nowMs - ageMs);
      if (hasChanged) logTargetLimit(this.options.log, state, 'peer');
    }
  }

  #collect(): ReportedLimit[] {
    const nowMs = performance.now();
    return this.options.targets
      .listTargets()
      .flatMap((state): ReportedLimit[] => {
        const { ownObservation } = state.limiter.statement;
        if (ownObservation === undefined) return [];
        const { requestsPerSecond = null, atMs } = ownObservation;
        const ageMs = Math.round(nowMs - atMs);
        if (ageMs > repetitionMs) return [];
        const { id } = state.record;
        return [[id, getStartMs(state.record), requestsPerSecond, ageMs]];
      });
  }
}

const serializeLimits = (limits: readonly ReportedLimit[]): string =>
  JSON.stringify(limits.map(limit => limit.slice(0, 3)));

/** Observations of one member and the monotonic time at which they arrived. */
export interface ReceivedLimits {
  readonly receivedAtMs: number;
  readonly limits: readonly ReportedLimit[];
}

/** Returns the newest observation of each target, with its age at present. */
export const mergeLimits = (
  received: readonly ReceivedLimits[],
): ReportedLimit[] => {
  const nowMs = performance.now();
  const newest = new Map<string, ReportedLimit>();
  for (const { receivedAtMs, limits } of received) {
    for (const [id, startedAtMs, requestsPerSecond, ageAtArrivalMs] of limits) {
      const ageMs = Math.round(ageAtArrivalMs + nowMs - receivedAtMs);
      const key = `${id} ${startedAtMs}`;
      const previousAgeMs = newest.get(key)?.[3] ?? Infinity;
      if (ageMs > repetitionMs || ageMs >= previousAgeMs) continue;
      newest.set(key, [id, startedAtMs, requestsPerSecond, ageMs]);
    }
  }
  return [...newest.values()];
};
