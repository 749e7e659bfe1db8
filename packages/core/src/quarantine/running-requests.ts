/** Where requests of each fingerprint run, as their owner instance knows it. */

/** Where a request may run now. */
export type RunAssignment =
  /** Nowhere else: run on the candidate. */
  | { readonly kind: 'free' }
  | { readonly kind: 'pinned'; readonly target: string }
  | { readonly kind: 'wait' };

interface RunGroup {
  readonly target: string | undefined;
  /** Time until which each run counts, by its id. */
  readonly expiryMsById: Map<string, number>;
}

/** A run whose end was never told stops counting after this. */
const runTtlMs = 120_000;

export class RunningRequests {
  readonly #groups = new Map<string, RunGroup>();

  /** Enters a run; requests of one fingerprint share one target. */
  addRun(fingerprint: string, id: string, candidate?: string): RunAssignment {
    const running = this.#getUnexpiredGroup(fingerprint);
    const untilMs = Date.now() + runTtlMs;
    if (running === undefined) {
      const entered = new Map([[id, untilMs]]);
      this.#groups.set(fingerprint, {
        target: candidate,
        expiryMsById: entered,
      });
      return { kind: 'free' };
    }
    if (running.target === undefined || candidate === undefined) {
      return { kind: 'wait' };
    }
    running.expiryMsById.set(id, untilMs);
    return { kind: 'pinned', target: running.target };
  }

  removeRun(fingerprint: string, id: string): void {
    const running = this.#groups.get(fingerprint);
    running?.expiryMsById.delete(id);
    if (running?.expiryMsById.size === 0) this.#groups.delete(fingerprint);
  }

  #getUnexpiredGroup(fingerprint: string): RunGroup | undefined {
    const running = this.#groups.get(fingerprint);
    if (running === undefined) return undefined;
    for (const [id, untilMs] of running.expiryMsById) {
      if (untilMs <= Date.now()) this.removeRun(fingerprint, id);
    }
    return this.#groups.get(fingerprint);
  }
}
