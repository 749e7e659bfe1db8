/** Claims that this process holds and whose end is not stored yet. */
import type { IdempotencyRecord } from './idempotency-record.js';

export class UnstoredResults {
  /** What became of each claim, once known, by its token. */
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

  /** Remembers the end of a run until it is stored. */
  setResult(token: string, change: Partial<IdempotencyRecord>): void {
    this.#changesByToken.set(token, change);
  }

  delete(token: string): void {
    this.#changesByToken.delete(token);
  }

  /** The claim as this process knows it, ahead of the table. */
  mergeResult(claim: IdempotencyRecord): IdempotencyRecord {
    if (claim.state !== 'running') return claim;
    const change = this.#changesByToken.get(claim.token);
    if (change?.state === 'released') return claim;
    return { ...claim, ...change };
  }
}
