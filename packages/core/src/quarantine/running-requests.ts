/** Where requests of each fingerprint run, as their owner instance knows it. */

/** Where a request may run now. */
export type RunPlace =
  /** Nowhere else: run on the candidate. */
  | { readonly kind: 'free' }
  | { readonly kind: 'pinned'; readonly target: string }
  | { readonly kind: 'wait' };

interface Running {
  readonly target: string | undefined;
  /** Time until which each run counts, by its id. */
  readonly untilMs: Map<string, number>;
}

/** A run whose end was never told stops counting after this. */
const forgottenAfterMs = 120_000;

export class RunningRequests {
  readonly #running = new Map<string, Running>();

  /** Enters a run; requests of one fingerprint share one target. */
  enter(fingerprint: string, id: string, candidate?: string): RunPlace {
    const running = this.#current(fingerprint);
    const untilMs = Date.now() + forgottenAfterMs;
    if (running === undefined) {
      const entered = new Map([[id, untilMs]]);
      this.#running.set(fingerprint, { target: candidate, untilMs: entered });
      return { kind: 'free' };
    }
    if (running.target === undefined || candidate === undefined) {
      return { kind: 'wait' };
    }
    running.untilMs.set(id, untilMs);
    return { kind: 'pinned', target: running.target };
  }

  leave(fingerprint: string, id: string): void {
    const running = this.#running.get(fingerprint);
    running?.untilMs.delete(id);
    if (running?.untilMs.size === 0) this.#running.delete(fingerprint);
  }

  #current(fingerprint: string): Running | undefined {
    const running = this.#running.get(fingerprint);
    if (running === undefined) return undefined;
    for (const [id, untilMs] of running.untilMs) {
      if (untilMs <= Date.now()) this.leave(fingerprint, id);
    }
    return this.#running.get(fingerprint);
  }
}
