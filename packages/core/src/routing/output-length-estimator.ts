/**
 * Estimates the output length of a request from the earlier answers of the same
 * customer and operation.
 */
import { LRUCache } from 'lru-cache';

export interface OutputLengthEstimatorOptions {
  /** Minimum weight of the newest answer in the moving average. */
  readonly smoothingFactor?: number;
  /**
   * Estimate before the first answer, as a fraction of the maximum output
   * tokens.
   */
  readonly initialShare?: number;
  /**
   * Maximum number of pairs of customer and operation whose average is kept.
   */
  readonly maxEntries?: number;
}

interface LengthAverage {
  readonly tokens: number;
  readonly sampleCount: number;
}

/** Keeps a moving average of output tokens for each customer and operation. */
export class OutputLengthEstimator {
  readonly #averages: LRUCache<string, LengthAverage>;
  readonly #smoothingFactor: number;
  readonly #initialShare: number;

  constructor(options: OutputLengthEstimatorOptions = {}) {
    this.#smoothingFactor = options.smoothingFactor ?? 0.1;
    this.#initialShare = options.initialShare ?? 0.25;
    this.#averages = new LRUCache({ max: options.maxEntries ?? 16_384 });
  }

  /** Adds the length of a finished answer, in tokens, to the average. */
  recordLength(customer: string, operation: string, tokens: number): void {
    const key = createKey(customer, operation);
    const average = this.#averages.get(key) ?? { tokens: 0, sampleCount: 0 };
    const sampleCount = average.sampleCount + 1;
    const weight = Math.max(this.#smoothingFactor, 1 / sampleCount);
    this.#averages.set(key, {
      tokens: average.tokens + weight * (tokens - average.tokens),
      sampleCount,
    });
  }

  /** Returns the expected output tokens, between 1 and `maxTokens`. */
  estimateOutputTokens(
    customer: string,
    operation: string,
    maxTokens: number,
  ): number {
    const average = this.#averages.get(createKey(customer, operation));
    const expectedTokens = average?.tokens ?? maxTokens * this.#initialShare;
    return Math.max(1, Math.min(maxTokens, Math.round(expectedTokens)));
  }
}

const createKey = (customer: string, operation: string) =>
  JSON.stringify([customer, operation]);
