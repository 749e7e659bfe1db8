/** Bounds retries of a service to a share of its requests. */

export interface RetryBudgetOptions {
  /** Retries earned by each request. */
  readonly share?: number;
  /** Retries that may be saved up, and with which it begins. */
  readonly capacity?: number;
}

const defaultShare = 0.08;
const defaultCapacity = 4;

export class RetryBudget {
  readonly #share: number;
  readonly #capacity: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#share = options.share ?? defaultShare;
    this.#capacity = options.capacity ?? defaultCapacity;
    this.#tokens = this.#capacity;
  }

  /** Counts a request, whatever becomes of it. */
  earn(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#share);
  }

  /** Takes a retry; false when none is left. */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
