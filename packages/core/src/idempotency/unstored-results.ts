/** Claims that this process holds and whose end is not stored yet. */
import type { Claim } from './idempotency-record.js';

export class RunningClaims {
  /** What became of each claim, once known, by its token. */
  readonly #changes = new Map<string, Partial<Claim>>();

  get size(): number {
    return this.#changes.size;
  }

  has(token: string): boolean {
    return this.#changes.has(token);
  }

  add(token: string): void {
    this.#changes.set(token, {});
  }

  /** Remembers the end of a run until it is stored. */
  keep(token: string, change: Partial<Claim>): void {
    this.#changes.set(token, change);
  }

  delete(token: string): void {
    this.#changes.delete(token);
  }

  /** The claim as this process knows it, ahead of the table. */
  withOutcome(claim: Claim): Claim {
    if (claim.state !== 'running') return claim;
    const change = this.#changes.get(claim.token);
    if (change?.state === 'released') return claim;
    return { ...claim, ...change };
  }
}
