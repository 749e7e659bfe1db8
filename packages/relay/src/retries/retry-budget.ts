/**
 * This instance's share of the retries that the deployment allows for a service:
 * a ratio of its own requests plus an equal share of a fixed allowance, both over
 * a sliding window.
 */

/**
 * Share of the budget that is used, because instances may disagree for a while
 * about the number of instances.
 */
const budgetSafetyFactor = 0.8;

/** Number of buckets that the sliding window consists of. */
const bucketCount = 10;

/** Window length and limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Length of the sliding window. */
  readonly windowMs: number;
  /** Returns the limits in force; called for each decision. */
  readonly getLimits: () => RetryLimits;
}

/** Retry limits of a service within one window. */
export interface RetryLimits {
  /** Retries allowed per request. */
  readonly retriesPerRequest: number;
  /** Additional retries allowed for the whole deployment per window. */
  readonly deploymentAllowance: number;
  /** Number of instances that share the allowance. */
  readonly instanceCount: number;
}

/** Counts of one step of the sliding window. */
interface WindowBucket {
  /** Monotonic time divided by the bucket length, rounded down. */
  readonly index: number;
  requestCount: number;
  retryCount: number;
}

/** Counts the requests and retries of one service and limits the retries. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets: WindowBucket[] = [];

  /** Monotonic time since which requests and retries are counted. */
  readonly #startedAtMs = performance.now();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Milliseconds for which this budget has counted. */
  get historyMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Number of instances among which the allowance is divided. */
  get instanceCount(): number {
    return this.#options.getLimits().instanceCount;
  }

  /** Counts a request of the service. */
  recordRequest(): void {
    this.#getCurrentBucket().requestCount += 1;
  }

  /** Counts a retry without checking whether the budget allows it. */
  recordRetry(): void {
    this.#getCurrentBucket().retryCount += 1;
  }

  /**
   * Counts a retry if the budget allows one; returns whether the budget allowed
   * the retry.
   */
  tryConsumeRetry(): boolean {
    if (this.remainingRetries < 1) return false;
    this.recordRetry();
    return true;
  }

  /** Retries left in the window; fractional, and negative when exceeded. */
  get remainingRetries(): number {
    this.#getCurrentBucket();
    const { retriesPerRequest, deploymentAllowance, instanceCount } =
      this.#options.getLimits();
    const requestCount = this.#sumBuckets(bucket => bucket.requestCount);
    const retryCount = this.#sumBuckets(bucket => bucket.retryCount);
    const instanceAllowance = deploymentAllowance / Math.max(1, instanceCount);
    return (
      budgetSafetyFactor *
        (retriesPerRequest * requestCount + instanceAllowance) -
      retryCount
    );
  }

  #sumBuckets(getCount: (bucket: WindowBucket) => number): number {
    return this.#buckets.reduce((sum, bucket) => sum + getCount(bucket), 0);
  }

  #getCurrentBucket(): WindowBucket {
    const bucketMs = this.#options.windowMs / bucketCount;
    const index = Math.floor(performance.now() / bucketMs);
    while (this.#buckets[0] && this.#buckets[0].index <= index - bucketCount) {
      this.#buckets.shift();
    }
    const lastBucket = this.#buckets.at(-1);
    if (lastBucket?.index === index) return lastBucket;
    const bucket = { index, requestCount: 0, retryCount: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
