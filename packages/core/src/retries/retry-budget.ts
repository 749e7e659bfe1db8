/** Bounds retries of a service to a share of its requests. */

export interface RetryBudgetOptions {
  /** Retries earned by each request. */
  readonly retriesPerRequest?: number;
  /** Retries that may be saved up, and with which it begins. */
  readonly maxSavedRetries?: number;
}

const defaultRetriesPerRequest = 0.08;
const defaultMaxSavedRetries = 4;

export class RetryBudget {
  readonly #retriesPerRequest: number;
  readonly #maxSavedRetries: number;
  #savedRetries: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#retriesPerRequest =
      options.retriesPerRequest ?? defaultRetriesPerRequest;
    this.#maxSavedRetries = options.maxSavedRetries ?? defaultMaxSavedRetries;
    this.#savedRetries = this.#maxSavedRetries;
  }

  /** Counts a request, whatever becomes of it. */
  countRequest(): void {
    this.#savedRetries = Math.min(
      this.#maxSavedRetries,
      this.#savedRetries + this.#retriesPerRequest,
    );
  }

  /** Takes a retry; false when none is left. */
  takeRetry(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
