/**
 * Tracks the targets on which the requests of each fingerprint run, at the
 * owner of the fingerprint.
 */

/** Decision on the target of a run. */
export type RunAssignment =
  /** The same request runs nowhere else: run on the candidate. */
  | { readonly kind: 'free' }
  /** The same request already runs on `target`: run there. */
  | { readonly kind: 'pinned'; readonly target: string }
  /**
   * The same request runs, but one of the two runs has no known target: try
   * again later.
   */
  | { readonly kind: 'wait' };

interface RunGroup {
  readonly target: string | undefined;
  /** Expiry time of each run in epoch milliseconds, by run id. */
  readonly expiryMsById: Map<string, number>;
}

/**
 * Milliseconds after which a run expires if no message about its end arrives.
 */
const runTtlMs = 120_000;

/** Running requests by fingerprint, with expiry. */
export class RunningRequests {
  readonly #groups = new Map<string, RunGroup>();

  /** Adds a run. All runs of a fingerprint share one target. */
  addRun(fingerprint: string, id: string, candidate?: string): RunAssignment {
    const group = this.#getUnexpiredGroup(fingerprint);
    const expiresAtMs = Date.now() + runTtlMs;
    if (group === undefined) {
      const expiryMsById = new Map([[id, expiresAtMs]]);
      this.#groups.set(fingerprint, {
        target: candidate,
        expiryMsById,
      });
      return { kind: 'free' };
    }
    if (group.target === undefined || candidate === undefined) {
      return { kind: 'wait' };
    }
    group.expiryMsById.set(id, expiresAtMs);
    return { kind: 'pinned', target: group.target };
  }

  removeRun(fingerprint: string, id: string): void {
    const group = this.#groups.get(fingerprint);
    group?.expiryMsById.delete(id);
    if (group?.expiryMsById.size === 0) this.#groups.delete(fingerprint);
  }

  #getUnexpiredGroup(fingerprint: string): RunGroup | undefined {
    const group = this.#groups.get(fingerprint);
    if (group === undefined) return undefined;
    for (const [id, expiresAtMs] of group.expiryMsById) {
      if (expiresAtMs <= Date.now()) this.removeRun(fingerprint, id);
    }
    return this.#groups.get(fingerprint);
  }
}
