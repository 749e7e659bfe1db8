/**
 * Whether other data centres can be reached, from own connections. A cut
 * shows as connections that fail to several targets there.
 */

/** Targets that have to fail before their data centre is doubted. */
const fewestTargets = 2;

/** Failures that are further apart have different causes. */
const failuresMs = 3_000;

/** A doubted data centre gets one request in this time to prove itself. */
const probeMs = 400;

interface DataCenterState {
  readonly failed: Map<string, number>;
  probedAtMs: number;
}

export class DataCenterReach {
  readonly #states = new Map<string, DataCenterState>();

  /** A connection to the target could not be opened. */
  failed(dataCenter: string, target: string): void {
    const nowMs = performance.now();
    const state = this.#states.get(dataCenter) ?? {
      failed: new Map<string, number>(),
      probedAtMs: nowMs,
    };
    this.#states.set(dataCenter, state);
    state.failed.set(target, nowMs);
    for (const [name, atMs] of state.failed) {
      if (nowMs - atMs > failuresMs) state.failed.delete(name);
    }
  }

  /** A target there has answered. */
  succeeded(dataCenter: string): void {
    this.#states.delete(dataCenter);
  }

  /** Data centres to avoid now; left out when it is time to try one again. */
  avoided(): ReadonlySet<string> {
    const nowMs = performance.now();
    const avoided = new Set<string>();
    for (const [dataCenter, state] of this.#states) {
      if (state.failed.size < fewestTargets) continue;
      if (nowMs - state.probedAtMs < probeMs) avoided.add(dataCenter);
      else state.probedAtMs = nowMs;
    }
    return avoided;
  }
}
