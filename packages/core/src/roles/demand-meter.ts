/** Measures the rates of the demand that arrives at this instance. */

/** Prefill and decode work of one request. */
export interface RequestDemand {
  /** Prompt tokens that no engine of the data centre has cached. */
  readonly prefillTokens: number;
  /** Estimated output tokens. */
  readonly outputTokens: number;
}

interface SecondBucket {
  readonly second: number;
  prefillTokens: number;
  outputTokens: number;
  requests: number;
}

const msPerSecond = 1_000;
const defaultWindowSeconds = 5;

/**
 * Counts requests and tokens in buckets of one second over a sliding window.
 */
export class DemandMeter {
  readonly #windowSeconds: number;
  #buckets: SecondBucket[] = [];

  constructor(windowSeconds = defaultWindowSeconds) {
    this.#windowSeconds = windowSeconds;
  }

  /** Counts an arriving request, whether it is admitted or not. */
  countRequest(demand: RequestDemand): void {
    const bucket = this.#getCurrentBucket();
    bucket.prefillTokens += demand.prefillTokens;
    bucket.outputTokens += demand.outputTokens;
    bucket.requests += 1;
  }

  /**
   * Returns the rates per second over the whole seconds of the window; the
   * current second is excluded.
   */
  computeRates(): {
    readonly prefillRate: number;
    readonly decodeRate: number;
    readonly requestRate: number;
  } {
    const currentBucket = this.#getCurrentBucket();
    const completeBuckets = this.#buckets.filter(
      bucket => bucket !== currentBucket,
    );
    const computeRate = (getCount: (bucket: SecondBucket) => number) =>
      completeBuckets.reduce((sum, bucket) => sum + getCount(bucket), 0) /
      this.#windowSeconds;
    return {
      prefillRate: computeRate(bucket => bucket.prefillTokens),
      decodeRate: computeRate(bucket => bucket.outputTokens),
      requestRate: computeRate(bucket => bucket.requests),
    };
  }

  /**
   * Returns the bucket of the current second and removes the buckets before the
   * window.
   */
  #getCurrentBucket(): SecondBucket {
    const second = Math.floor(Date.now() / msPerSecond);
    const oldestSecond = second - this.#windowSeconds;
    this.#buckets = this.#buckets.filter(
      bucket => bucket.second >= oldestSecond,
    );
    const lastBucket = this.#buckets.at(-1);
    if (lastBucket?.second === second) return lastBucket;
    const newBucket = {
      second,
      prefillTokens: 0,
      outputTokens: 0,
      requests: 0,
    };
    this.#buckets.push(newBucket);
    return newBucket;
  }
}
