/** Limits the retries of a service to a fraction of its requests. */

export interface RetryBudgetOptions {
  /** Fraction of a retry that each request adds to the budget. */
  readonly retriesPerRequest?: number;
  /**
   * Maximum number of retries in the budget, which is also the initial number.
   */
  readonly maxSavedRetries?: number;
}

const defaultRetriesPerRequest = 0.08;
const defaultMaxSavedRetries = 4;

/** Budget of retries, filled by requests. */
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

  /**
   * Adds `retriesPerRequest` to the budget, up to its maximum; called once per
   * request, whatever its outcome.
   */
  countRequest(): void {
    this.#savedRetries = Math.min(
      this.#maxSavedRetries,
      this.#savedRetries + this.#retriesPerRequest,
    );
  }

  /**
   * Takes one retry from the budget; returns false if less than one is left.
   */
  takeRetry(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
