/** Claims of this process whose results are not stored yet. */
import type { IdempotencyRecord } from './idempotency-record.js';

/** Keeps results in memory until they are stored in the table. */
export class UnstoredResults {
  /** Change to be stored by claim token; empty until the result is known. */
  readonly #changesByToken = new Map<string, Partial<IdempotencyRecord>>();

  get size(): number {
    return this.#changesByToken.size;
  }

  has(token: string): boolean {
    return this.#changesByToken.has(token);
  }

  add(token: string): void {
    this.#changesByToken.set(token, {});
  }

  /** Keeps the result of a run until it is stored. */
  setResult(token: string, change: Partial<IdempotencyRecord>): void {
    this.#changesByToken.set(token, change);
  }

  delete(token: string): void {
    this.#changesByToken.delete(token);
  }

  /** Applies an unstored result to a running claim that was read. */
  mergeResult(claim: IdempotencyRecord): IdempotencyRecord {
    if (claim.state !== 'running') return claim;
    const change = this.#changesByToken.get(claim.token);
    if (change?.state === 'released') return claim;
    return { ...claim, ...change };
  }
}
