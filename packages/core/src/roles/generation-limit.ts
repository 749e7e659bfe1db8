/**
 * Bounds how many generations run at once by the engines' estimated load, so
 * that a queue forms where rank and deadline count and not inside an engine.
 */
import type { TargetDirectory } from '../membership/target-directory.js';
import type { EngineSpeed } from '../routing/cost-model.js';
import type { LoadEstimator, LoadEstimate } from '../routing/load-estimator.js';

export interface GenerationLimitOptions {
  readonly directory: TargetDirectory;
  readonly loadEstimator: LoadEstimator;
  readonly engineSpeed: EngineSpeed;
  /** Prefill that may wait before an engine. */
  readonly maxBacklogMs?: number;
}

const defaultMaxBacklogMs = 700;
const msPerSecond = 1_000;

export class GenerationLimit {
  readonly #options: GenerationLimitOptions;

  constructor(options: GenerationLimitOptions) {
    this.#options = options;
  }

  /** Generations that may run: one more while an engine has room. */
  computeMaxRunning(current: number): number {
    return current + (this.#hasCapacity() ? 1 : 0);
  }

  /** True when some engine can start a prompt and hold its answer. */
  #hasCapacity(): boolean {
    const { loadEstimator: book, directory } = this.#options;
    let prefill = false;
    let decode = false;
    for (const { target, isLeaving: leaving } of directory.listEngines()) {
      const load = book.estimateLoad(target.name);
      if (leaving || load?.report.accepting !== true) continue;
      const { role, slots } = load.report;
      if (role !== 'decode')
        prefill ||= this.#estimateBacklogMs(load) < this.#maxBacklogMs;
      if (role !== 'prefill') decode ||= load.requests < slots;
    }
    return prefill && decode;
  }

  #estimateBacklogMs({ prefillTokens }: LoadEstimate): number {
    const { prefill_tokens_per_second: rate } = this.#options.engineSpeed;
    return (prefillTokens / rate) * msPerSecond;
  }

  get #maxBacklogMs(): number {
    return this.#options.maxBacklogMs ?? defaultMaxBacklogMs;
  }
}
