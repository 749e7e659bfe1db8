/**
 * Protects idempotency keys when the table is restored from a backup that lacks the
 * latest claims: the processes that made them write them again, and meanwhile no key
 * is claimed.
 */
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';
import type { EraTracker } from '../table/era-tracker.js';

import type { IdempotencyStore } from './idempotency-store.js';
import type {
  IdempotencyRecord,
  IdempotencyRecordKey,
} from './idempotency-record.js';

/** Age of the oldest backup from which the table can be restored. */
const maxBackupAgeMs = 10 * 60_000;

/** Claims that are remembered at most; the oldest are forgotten first. */
const maxRememberedClaims = 20_000;

/**
 * Time after a restore until keys are claimed again. It leaves every other process
 * time to notice the restore and to write its claims.
 */
const settlingMs = 5_000;

const retryDelayMs = 200;

/** A claim of this process whose operation may have run. */
interface RememberedClaim {
  readonly name: IdempotencyRecordKey;
  readonly record: IdempotencyRecord;
  readonly atMs: number;
}

export interface RestoredClaimsOptions {
  readonly store: IdempotencyStore;
  readonly eras: EraTracker;
  readonly log: Log;
  readonly random: () => number;
  /** Ends the writing of lost claims. */
  readonly signal: AbortSignal;
}

/** Remembers the claims of this process and writes them again after a restore. */
export class RestoredClaims {
  readonly #options: RestoredClaimsOptions;
  readonly #claimsByToken = new Map<string, RememberedClaim>();

  constructor(options: RestoredClaimsOptions) {
    this.#options = options;
    options.eras.onChange(() => {
      void this.#writeAll();
    });
  }

  /** Milliseconds until keys can be claimed; 0 if they can be now. */
  get remainingSettlingMs(): number {
    const { currentEra, sinceMs } = this.#options.eras;
    if (currentEra === 0) return 0;
    return Math.max(0, sinceMs + settlingMs - performance.now());
  }

  /** Remembers the latest record of a claim. */
  remember(name: IdempotencyRecordKey, record: IdempotencyRecord): void {
    this.#claimsByToken.delete(record.token);
    const atMs = performance.now();
    this.#claimsByToken.set(record.token, { name, record, atMs });
    this.#forgetOldClaims();
  }

  /** Forgets a claim that was released. */
  forget(token: string): void {
    this.#claimsByToken.delete(token);
  }

  /** Writes a remembered claim, with retries, until the table has it or a new era begins. */
  async writeAgain(token: string): Promise<void> {
    const { store, random, signal, eras } = this.#options;
    const { currentEra } = eras;
    while (!signal.aborted && eras.currentEra === currentEra) {
      const claim = this.#claimsByToken.get(token);
      if (claim === undefined) return;
      if (await store.restoreRecord(claim.name, claim.record)) return;
      await sleep(addJitter(retryDelayMs, random), signal);
    }
  }

  #forgetOldClaims(): void {
    const oldestMs = performance.now() - maxBackupAgeMs;
    for (const [token, { atMs }] of this.#claimsByToken) {
      const isKept = this.#claimsByToken.size <= maxRememberedClaims;
      if (isKept && atMs >= oldestMs) return;
      this.#claimsByToken.delete(token);
    }
  }

  async #writeAll(): Promise<void> {
    this.#forgetOldClaims();
    const { log } = this.#options;
    const tokens = [...this.#claimsByToken.keys()];
    for (const token of tokens) await this.writeAgain(token);
    log.writeEvent('claims_restored', { claims: tokens.length });
  }
}
