/**
 * Whether other data centres can be reached, from own connections. A cut
 * shows as connections that fail to several targets there.
 */

/** Targets that have to fail before their data centre is doubted. */
const minFailedTargets = 2;

/** Failures that are further apart have different causes. */
const failureWindowMs = 3_000;

/** A doubted data centre gets one request in this time to prove itself. */
const probeIntervalMs = 400;

interface DataCenterState {
  readonly failedAtMsByTarget: Map<string, number>;
  lastProbedAtMs: number;
}

export class DataCenterReachability {
  readonly #stateByDataCenter = new Map<string, DataCenterState>();

  /** A connection to the target could not be opened. */
  recordConnectFailure(dataCenter: string, target: string): void {
    const nowMs = performance.now();
    const state = this.#stateByDataCenter.get(dataCenter) ?? {
      failedAtMsByTarget: new Map<string, number>(),
      lastProbedAtMs: nowMs,
    };
    this.#stateByDataCenter.set(dataCenter, state);
    state.failedAtMsByTarget.set(target, nowMs);
    for (const [name, atMs] of state.failedAtMsByTarget) {
      if (nowMs - atMs > failureWindowMs) state.failedAtMsByTarget.delete(name);
    }
  }

  /** A target there has answered. */
  recordSuccess(dataCenter: string): void {
    this.#stateByDataCenter.delete(dataCenter);
  }

  /** Data centres to avoid now; left out when it is time to try one again. */
  takeUnreachableDataCenters(): ReadonlySet<string> {
    const nowMs = performance.now();
    const avoided = new Set<string>();
    for (const [dataCenter, state] of this.#stateByDataCenter) {
      if (state.failedAtMsByTarget.size < minFailedTargets) continue;
      if (nowMs - state.lastProbedAtMs < probeIntervalMs)
        avoided.add(dataCenter);
      else state.lastProbedAtMs = nowMs;
    }
    return avoided;
  }
}
