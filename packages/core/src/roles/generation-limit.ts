/**
 * Limits the number of running generations by the estimated load of the
 * engines, so that requests wait in the admission queue, which orders them by
 * priority and deadline, and not inside an engine.
 */
import type { TargetDirectory } from '../membership/target-directory.js';
import type { EngineSpeed } from '../routing/cost-model.js';
import type { LoadEstimator, LoadEstimate } from '../routing/load-estimator.js';

export interface GenerationLimitOptions {
  readonly directory: TargetDirectory;
  readonly loadEstimator: LoadEstimator;
  readonly engineSpeed: EngineSpeed;
  /**
   * Maximum time that the prompt tokens waiting at an engine take to prefill,
   * in milliseconds.
   */
  readonly maxBacklogMs?: number;
}

const defaultMaxBacklogMs = 700;
const msPerSecond = 1_000;

/** Computes the current limit of running generations. */
export class GenerationLimit {
  readonly #options: GenerationLimitOptions;

  constructor(options: GenerationLimitOptions) {
    this.#options = options;
  }

  /**
   * Returns the number of generations that may run: one more than the current
   * number while the engines have capacity, otherwise the current number.
   */
  computeMaxRunning(runningCount: number): number {
    return runningCount + (this.#hasCapacity() ? 1 : 0);
  }

  /**
   * Returns true if some engine can start a prefill and some engine has a free
   * decode slot; both may be the same engine.
   */
  #hasCapacity(): boolean {
    const { loadEstimator, directory } = this.#options;
    let canPrefill = false;
    let canDecode = false;
    for (const { target, isLeaving } of directory.listEngines()) {
      const load = loadEstimator.estimateLoad(target.name);
      if (isLeaving || load?.report.accepting !== true) continue;
      const { role, slots } = load.report;
      if (role !== 'decode')
        canPrefill ||= this.#estimateBacklogMs(load) < this.#maxBacklogMs;
      if (role !== 'prefill') canDecode ||= load.requests < slots;
    }
    return canPrefill && canDecode;
  }

  #estimateBacklogMs({ prefillTokens }: LoadEstimate): number {
    const { prefill_tokens_per_second: tokensPerSecond } =
      this.#options.engineSpeed;
    return (prefillTokens / tokensPerSecond) * msPerSecond;
  }

  get #maxBacklogMs(): number {
    return this.#options.maxBacklogMs ?? defaultMaxBacklogMs;
  }
}
