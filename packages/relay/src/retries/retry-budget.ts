/**
 * This instance's share of the retries that the deployment allows a service:
 * a ratio of its own requests and an equal part of a fixed allowance, both
 * over a sliding window.
 */

/** Part of the allowance that is used, as instances count differently. */
const budgetSafetyFactor = 0.8;

/** Steps by which the window slides. */
const bucketCount = 10;

export interface RetryBudgetOptions {
  readonly windowMs: number;
  /** What the deployment allows; asked at each decision. */
  readonly getLimits: () => RetryLimits;
}

export interface RetryLimits {
  /** Retries for each request. */
  readonly retriesPerRequest: number;
  /** Retries of the whole deployment besides. */
  readonly deploymentAllowance: number;
  /** Instances that share the allowance. */
  readonly instanceCount: number;
}

interface WindowBucket {
  readonly index: number;
  requestCount: number;
  retryCount: number;
}

export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets: WindowBucket[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a request of the service. */
  recordRequest(): void {
    this.#getCurrentBucket().requestCount += 1;
  }

  /** Counts a retry that needs no permission, or was taken. */
  recordRetry(): void {
    this.#getCurrentBucket().retryCount += 1;
  }

  /** Takes a retry if one is left. */
  tryConsumeRetry(): boolean {
    if (this.remainingRetries < 1) return false;
    this.recordRetry();
    return true;
  }

  /** Retries left in the window. */
  get remainingRetries(): number {
    this.#getCurrentBucket();
    const {
      retriesPerRequest: ratio,
      deploymentAllowance: allowance,
      instanceCount: instances,
    } = this.#options.getLimits();
    const requests = this.#sumBuckets(slot => slot.requestCount);
    const retries = this.#sumBuckets(slot => slot.retryCount);
    const share = allowance / Math.max(1, instances);
    return budgetSafetyFactor * (ratio * requests + share) - retries;
  }

  #sumBuckets(count: (slot: WindowBucket) => number): number {
    return this.#buckets.reduce((sum, slot) => sum + count(slot), 0);
  }

  #getCurrentBucket(): WindowBucket {
    const slotMs = this.#options.windowMs / bucketCount;
    const index = Math.floor(performance.now() / slotMs);
    while (this.#buckets[0] && this.#buckets[0].index <= index - bucketCount) {
      this.#buckets.shift();
    }
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const slot = { index, requestCount: 0, retryCount: 0 };
    this.#buckets.push(slot);
    return slot;
  }
}
