/**
 * Detects unreachable data centres from this instance's own connections: connections
 * to several targets of the data centre fail within a short time.
 */

/**
 * Minimum number of failed targets for a data centre to count as unreachable.
 */
const minFailedTargets = 2;

/** Failures that are further apart are attributed to different causes. */
const failureWindowMs = 3_000;

/** Interval at which one request probes an unreachable data centre. */
const probeIntervalMs = 400;

/** Failures in one data centre; times in milliseconds of the monotonic clock. */
interface DataCenterState {
  readonly failedAtMsByTarget: Map<string, number>;
  lastProbedAtMs: number;
}

/** Tracks the connection failures of all data centres. */
export class DataCenterReachability {
  readonly #stateByDataCenter = new Map<string, DataCenterState>();

  /** Records that a connection to the target could not be opened. */
  recordConnectFailure(dataCenter: string, targetId: string): void {
    const nowMs = performance.now();
    const state = this.#stateByDataCenter.get(dataCenter) ?? {
      failedAtMsByTarget: new Map<string, number>(),
      lastProbedAtMs: nowMs,
    };
    this.#stateByDataCenter.set(dataCenter, state);
    state.failedAtMsByTarget.set(targetId, nowMs);
    for (const [failedTargetId, failedAtMs] of state.failedAtMsByTarget) {
      if (nowMs - failedAtMs > failureWindowMs)
        state.failedAtMsByTarget.delete(failedTargetId);
    }
  }

  /** Records that a target in the data centre has answered. */
  recordSuccess(dataCenter: string): void {
    this.#stateByDataCenter.delete(dataCenter);
  }

  /**
   * Returns the data centres to avoid for the current request. A data centre that is
   * due for a probe is left out, and its probe counts as made.
   */
  takeUnreachableDataCenters(): ReadonlySet<string> {
    const nowMs = performance.now();
    const unreachable = new Set<string>();
    for (const [dataCenter, state] of this.#stateByDataCenter) {
      if (state.failedAtMsByTarget.size < minFailedTargets) continue;
      if (nowMs - state.lastProbedAtMs < probeIntervalMs)
        unreachable.add(dataCenter);
      else state.lastProbedAtMs = nowMs;
    }
    return unreachable;
  }
}
