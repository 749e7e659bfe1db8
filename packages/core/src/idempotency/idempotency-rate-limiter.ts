/** Limits the claims that one customer may write, so that none starves. */
import { LRUCache } from 'lru-cache';

import { Failure } from '../shared/failure.js';

export interface ClaimBudgetOptions {
  /** Instances that share a customer's limit; at least one. */
  readonly instances: () => number;
  /** Claims are allowed at once for this long a time of the rate. */
  readonly burstMs?: number;
  readonly maxCustomers?: number;
}

interface Bucket {
  tokens: number;
  atMs: number;
}

const minuteMs = 60_000;
const defaultBurstMs = 15_000;
const defaultMaxCustomers = 10_000;

/** One token bucket for each customer. */
export class ClaimBudget {
  readonly #options: ClaimBudgetOptions;
  readonly #burstMs: number;
  readonly #buckets: LRUCache<string, Bucket>;

  constructor(options: ClaimBudgetOptions) {
    this.#options = options;
    this.#burstMs = options.burstMs ?? defaultBurstMs;
    const max = options.maxCustomers ?? defaultMaxCustomers;
    this.#buckets = new LRUCache({ max });
  }

  /** Takes a claim from the customer's share; a failure says when to return. */
  take(customer: string, claimsPerMinute: number): Failure | undefined {
    const share = claimsPerMinute / Math.max(1, this.#options.instances());
    const rate = share / minuteMs;
    const capacity = Math.max(1, rate * this.#burstMs);
    const bucket = this.#refilled(customer, rate, capacity);
    if (bucket.tokens < 1) {
      const retryAfterMs = Math.ceil((1 - bucket.tokens) / rate);
      return new Failure('rate_limited', 'too many claims of this customer', {
        retryAfterMs,
      });
    }
    bucket.tokens -= 1;
    return undefined;
  }

  #refilled(customer: string, rate: number, capacity: number): Bucket {
    const nowMs = Date.now();
    const old = this.#buckets.get(customer);
    const bucket = old ?? { tokens: capacity, atMs: nowMs };
    const earned = (nowMs - bucket.atMs) * rate;
    bucket.tokens = Math.min(capacity, bucket.tokens + earned);
    bucket.atMs = nowMs;
    this.#buckets.set(customer, bucket);
    return bucket;
  }
}
