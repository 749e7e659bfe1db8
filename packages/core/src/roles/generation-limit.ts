/**
 * Bounds how many generations run at once by the engines' estimated load, so
 * that a queue forms where rank and deadline count and not inside an engine.
 */
import type { TargetDirectory } from '../membership/target-directory.js';
import type { RoutingSpeed } from '../routing/cost-model.js';
import type { LoadBook, LoadEstimate } from '../routing/load-estimator.js';

export interface LoadBoundsOptions {
  readonly directory: TargetDirectory;
  readonly book: LoadBook;
  readonly speed: RoutingSpeed;
  /** Prefill that may wait before an engine. */
  readonly maxBacklogMs?: number;
}

const defaultMaxBacklogMs = 700;
const msPerSecond = 1_000;

export class LoadBounds {
  readonly #options: LoadBoundsOptions;

  constructor(options: LoadBoundsOptions) {
    this.#options = options;
  }

  /** Generations that may run: one more while an engine has room. */
  running(current: number): number {
    return current + (this.#hasRoom() ? 1 : 0);
  }

  /** True when some engine can start a prompt and hold its answer. */
  #hasRoom(): boolean {
    const { book, directory } = this.#options;
    let prefill = false;
    let decode = false;
    for (const { target, leaving } of directory.engines()) {
      const load = book.estimate(target.name);
      if (leaving || load?.report.accepting !== true) continue;
      const { role, slots } = load.report;
      if (role !== 'decode') prefill ||= this.#backlogMs(load) < this.#maxMs;
      if (role !== 'prefill') decode ||= load.requests < slots;
    }
    return prefill && decode;
  }

  #backlogMs({ prefillTokens }: LoadEstimate): number {
    const { prefill_tokens_per_second: rate } = this.#options.speed;
    return (prefillTokens / rate) * msPerSecond;
  }

  get #maxMs(): number {
    return this.#options.maxBacklogMs ?? defaultMaxBacklogMs;
  }
}
