/**
 * Limits how many idempotency keys each customer can claim per minute, so that
 * no customer starves another.
 */
import { LRUCache } from 'lru-cache';

import { Failure } from '../shared/failure.js';

export interface IdempotencyRateLimiterOptions {
  /** Returns the instances that share a limit; less than 1 counts as 1. */
  readonly countInstances: () => number;
  /** Burst size, as the time in which the rate allows that many claims. */
  readonly burstMs?: number;
  /** Maximum number of customers whose buckets are kept. */
  readonly maxCustomers?: number;
}

interface TokenBucketState {
  availableTokens: number;
  refilledAtMs: number;
}

const minuteMs = 60_000;
const defaultBurstMs = 15_000;
const defaultMaxCustomers = 10_000;

/** Keeps one token bucket for each customer. */
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

  /**
   * Takes one claim from the customer's bucket on this instance. Returns
   * `rate_limited` with a retry delay when the bucket is empty.
   */
  acquire(customer: string, claimsPerMinute: number): Failure | undefined {
    const instanceClaimsPerMinute =
      claimsPerMinute / Math.max(1, this.#options.countInstances());
    const tokensPerMs = instanceClaimsPerMinute / minuteMs;
    const capacity = Math.max(1, tokensPerMs * this.#burstMs);
    const bucket = this.#refillBucket(customer, tokensPerMs, capacity);
    if (bucket.availableTokens < 1) {
      const retryAfterMs = Math.ceil(
        (1 - bucket.availableTokens) / tokensPerMs,
      );
      return new Failure(
        'rate_limited',
        'the customer exceeded its claims per minute',
        {
          retryAfterMs,
        },
      );
    }
    bucket.availableTokens -= 1;
    return undefined;
  }

  /** Adds the tokens since the last refill; `rate` is tokens per millisecond. */
  #refillBucket(
    customer: string,
    tokensPerMs: number,
    capacity: number,
  ): TokenBucketState {
    const nowMs = Date.now();
    const existingBucket = this.#buckets.get(customer);
    const bucket = existingBucket ?? {
      availableTokens: capacity,
      refilledAtMs: nowMs,
    };
    const addedTokens = (nowMs - bucket.refilledAtMs) * tokensPerMs;
    bucket.availableTokens = Math.min(
      capacity,
      bucket.availableTokens + addedTokens,
    );
    bucket.refilledAtMs = nowMs;
    this.#buckets.set(customer, bucket);
    return bucket;
  }
}
