/** Counts the demand that arrives at this instance. */

/** What one request asks for. */
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

export class DemandMeter {
  readonly #windowSeconds: number;
  #buckets: SecondBucket[] = [];

  constructor(windowSeconds = defaultWindowSeconds) {
    this.#windowSeconds = windowSeconds;
  }

  /** Counts a request, whether it is admitted or not. */
  countRequest(arrival: RequestDemand): void {
    const bucket = this.#getCurrentBucket();
    bucket.prefillTokens += arrival.prefillTokens;
    bucket.outputTokens += arrival.outputTokens;
    bucket.requests += 1;
  }

  /** Rates a second over the last whole seconds of the window. */
  computeRates(): {
    readonly prefillRate: number;
    readonly decodeRate: number;
    readonly requestRate: number;
  } {
    const current = this.#getCurrentBucket();
    const whole = this.#buckets.filter(bucket => bucket !== current);
    const mean = (pick: (bucket: SecondBucket) => number) =>
      whole.reduce((sum, bucket) => sum + pick(bucket), 0) /
      this.#windowSeconds;
    return {
      prefillRate: mean(bucket => bucket.prefillTokens),
      decodeRate: mean(bucket => bucket.outputTokens),
      requestRate: mean(bucket => bucket.requests),
    };
  }

  /** Bucket of the current second, after dropping those out of the window. */
  #getCurrentBucket(): SecondBucket {
    const second = Math.floor(Date.now() / msPerSecond);
    const oldest = second - this.#windowSeconds;
    this.#buckets = this.#buckets.filter(bucket => bucket.second >= oldest);
    const last = this.#buckets.at(-1);
    if (last?.second === second) return last;
    const fresh = { second, prefillTokens: 0, outputTokens: 0, requests: 0 };
    this.#buckets.push(fresh);
    return fresh;
  }
}
