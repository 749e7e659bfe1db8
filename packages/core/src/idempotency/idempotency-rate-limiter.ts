/** Limits the claims that one customer may write, so that none starves. */
import { LRUCache } from 'lru-cache';

import { Failure } from '../shared/failure.js';

export interface IdempotencyRateLimiterOptions {
  /** Instances that share a customer's limit; at least one. */
  readonly countInstances: () => number;
  /** Claims are allowed at once for this long a time of the rate. */
  readonly burstMs?: number;
  readonly maxCustomers?: number;
}

interface TokenBucketState {
  availableTokens: number;
  refilledAtMs: number;
}

const minuteMs = 60_000;
const defaultBurstMs = 15_000;
const defaultMaxCustomers = 10_000;

/** One token bucket for each customer. */
export class IdempotencyRateLimiter {
  readonly #options: IdempotencyRateLimiterOptions;
  readonly #burstMs: number;
  readonly #buckets: LRUCache<string, TokenBucketState>;

  constructor(options: IdempotencyRateLimiterOptions) {
    this.#options = options;
    this.#burstMs = options.burstMs ?? defaultBurstMs;
    const max = options.maxCustomers ?? defaultMaxCustomers;
    this.#buckets = new LRUCache({ max });
  }

  /** Takes a claim from the customer's share; a failure says when to return. */
  acquire(customer: string, claimsPerMinute: number): Failure | undefined {
    const share = claimsPerMinute / Math.max(1, this.#options.countInstances());
    const rate = share / minuteMs;
    const capacity = Math.max(1, rate * this.#burstMs);
    const bucket = this.#refillBucket(customer, rate, capacity);
    if (bucket.availableTokens < 1) {
      const retryAfterMs = Math.ceil((1 - bucket.availableTokens) / rate);
      return new Failure('rate_limited', 'too many claims of this customer', {
        retryAfterMs,
      });
    }
    bucket.availableTokens -= 1;
    return undefined;
  }

  #refillBucket(
    customer: string,
    rate: number,
    capacity: number,
  ): TokenBucketState {
    const nowMs = Date.now();
    const old = this.#buckets.get(customer);
    const bucket = old ?? { availableTokens: capacity, refilledAtMs: nowMs };
    const earned = (nowMs - bucket.refilledAtMs) * rate;
    bucket.availableTokens = Math.min(
      capacity,
      bucket.availableTokens + earned,
    );
    bucket.refilledAtMs = nowMs;
    this.#buckets.set(customer, bucket);
    return bucket;
  }
}
