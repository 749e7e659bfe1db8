/** Expected output length, learnt for each customer and operation. */
import { LRUCache } from 'lru-cache';

export interface OutputLengthEstimatorOptions {
  /** Weight of the newest answer in the average. */
  readonly smoothingFactor?: number;
  /** Expected before anything was learnt, as a share of the maximum. */
  readonly initialShare?: number;
  /** Customer and operation pairs that are remembered. */
  readonly maxEntries?: number;
}

interface LengthAverage {
  readonly tokens: number;
  readonly samples: number;
}

export class OutputLengthEstimator {
  readonly #averages: LRUCache<string, LengthAverage>;
  readonly #smoothingFactor: number;
  readonly #initialShare: number;

  constructor(options: OutputLengthEstimatorOptions = {}) {
    this.#smoothingFactor = options.smoothingFactor ?? 0.1;
    this.#initialShare = options.initialShare ?? 0.25;
    this.#averages = new LRUCache({ max: options.maxEntries ?? 16_384 });
  }

  /** Takes in the length of a finished answer. */
  recordLength(customer: string, operation: string, tokens: number): void {
    const key = createKey(customer, operation);
    const known = this.#averages.get(key) ?? { tokens: 0, samples: 0 };
    const samples = known.samples + 1;
    const weight = Math.max(this.#smoothingFactor, 1 / samples);
    this.#averages.set(key, {
      tokens: known.tokens + weight * (tokens - known.tokens),
      samples,
    });
  }

  /** Expected output tokens, never above the maximum asked for. */
  estimateOutputTokens(
    customer: string,
    operation: string,
    maxTokens: number,
  ): number {
    const known = this.#averages.get(createKey(customer, operation));
    const expected = known?.tokens ?? maxTokens * this.#initialShare;
    return Math.max(1, Math.min(maxTokens, Math.round(expected)));
  }
}

const createKey = (customer: string, operation: string) =>
  JSON.stringify([customer, operation]);
