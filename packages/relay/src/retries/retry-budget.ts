/**
 * This instance's share of the retries that the deployment allows for a service:
 * a ratio of its own requests plus an equal share of a fixed allowance, both over
 * a sliding window.
 *
 * A process that starts does not know the retries that the process before it made in
 * the same window. So it makes few until it knows a whole window, and each process
 * leaves room for those few of a successor: its retries within a part of the window
 * may not use up the budget of the whole window.
 */

/**
 * Share of the budget that is used, because instances may disagree for a while
 * about the number of instances.
 */
const budgetSafetyFactor = 0.8;

/** Share of the budget that a process and its successors in one window may use. */
const successionSafetyFactor = 0.95;

/** Share of the ratio that a process may use while it does not know a whole window. */
const unknownHistoryShare = 0.4;

/** Number of buckets that the sliding window consists of. */
const bucketCount = 20;

/** Window length and limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Length of the sliding window. */
  readonly windowMs: number;
  /**
   * Monotonic time since which all retries of this instance are counted here;
   * `-Infinity` if no process was there before.
   */
  readonly knownSinceMs: number;
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

/** Where retries are counted. */
interface RetryCount {
  retryCount: number;
}

/** Counts of one step of the sliding window. */
interface WindowBucket extends RetryCount {
  /** Monotonic time divided by the bucket length, rounded down. */
  readonly index: number;
  requestCount: number;
}

/** A retry that the budget allows. It counts until it is given back. */
export class RetryPermit {
  #counter: RetryCount | undefined;

  constructor(
    private readonly reserved: RetryCount,
    private readonly getCurrentBucket: () => RetryCount,
  ) {
    this.#moveTo(reserved);
  }

  /** Counts the retry as sent now. */
  use(): void {
    this.#moveTo(this.getCurrentBucket());
  }

  /** Takes the use back, as nothing has reached a target; the retry stays reserved. */
  undoUse(): void {
    this.#moveTo(this.reserved);
  }

  /** Gives the retry back. */
  release(): void {
    this.#moveTo(undefined);
  }

  #moveTo(counter: RetryCount | undefined): void {
    if (this.#counter !== undefined) this.#counter.retryCount -= 1;
    if (counter !== undefined) counter.retryCount += 1;
    this.#counter = counter;
  }
}

/** Counts the requests and retries of one service and limits the retries. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets: WindowBucket[] = [];
  /** Retries that are reserved and not sent. */
  readonly #reserved: RetryCount = { retryCount: 0 };

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Milliseconds for which all retries of this instance are known. */
  get historyMs(): number {
    return performance.now() - this.#options.knownSinceMs;
  }

  /** Number of instances among which the allowance is divided. */
  get instanceCount(): number {
    return this.#options.getLimits().instanceCount;
  }

  /** Counts a request of the service. */
  recordRequest(): void {
    this.#getCurrentBucket().requestCount += 1;
  }

  /**
   * Reserves a retry if the budget allows one. It counts from now on, and from when it is
   * sent for one window.
   */
  tryReserveRetry(): RetryPermit | undefined {
    if (this.remainingRetries < 1) return undefined;
    return new RetryPermit(this.#reserved, () => this.#getCurrentBucket());
  }

  /** Retries left in the window; fractional, and negative when exceeded. */
  get remainingRetries(): number {
    const { retriesPerRequest, deploymentAllowance, instanceCount } =
      this.#options.getLimits();
    const ratioRetries = retriesPerRequest * this.#countRequests();
    const successorRetries = unknownHistoryShare * ratioRetries;
    if (!this.#knowsWindow) return successorRetries - this.#countRetries();
    const budget =
      ratioRetries + deploymentAllowance / Math.max(1, instanceCount);
    return Math.min(
      budgetSafetyFactor * budget - this.#countRetries(),
      this.#computeRoom(successionSafetyFactor * budget, successorRetries),
    );
  }

  /** True if no process before this one can have made retries within the window. */
  get #knowsWindow(): boolean {
    return this.historyMs > this.#options.windowMs;
  }

  /**
   * Retries that may be made now so that, for each span up to now, the retries in it and
   * those of a successor in the rest of the window stay within the limit.
   */
  #computeRoom(limit: number, successorRetries: number): number {
    const { index: currentIndex } = this.#getCurrentBucket();
    let room = Infinity;
    let { retryCount } = this.#reserved;
    for (const bucket of [...this.#buckets].reverse()) {
      retryCount += bucket.retryCount;
      const restShare = 1 - (currentIndex - bucket.index) / bucketCount;
      room = Math.min(room, limit - restShare * successorRetries - retryCount);
    }
    return room;
  }

  #countRequests(): number {
    const { index: currentIndex } = this.#getCurrentBucket();
    return this.#buckets
      .filter(({ index }) => index > currentIndex - bucketCount)
      .reduce((sum, { requestCount }) => sum + requestCount, 0);
  }

  #countRetries(): number {
    this.#getCurrentBucket();
    return [this.#reserved, ...this.#buckets].reduce(
      (sum, { retryCount }) => sum + retryCount,
      0,
    );
  }

  /** Returns the current bucket. One more than a window is kept, as it is partly over. */
  #getCurrentBucket(): WindowBucket {
    const bucketMs = this.#options.windowMs / bucketCount;
    const index = Math.floor(performance.now() / bucketMs);
    while (this.#buckets[0] && this.#buckets[0].index < index - bucketCount) {
      this.#buckets.shift();
    }
    const lastBucket = this.#buckets.at(-1);
    if (lastBucket?.index === index) return lastBucket;
    const bucket = { index, requestCount: 0, retryCount: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
