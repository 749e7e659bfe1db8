/** A lease as held by this process, and its rows in the table. */
import { z } from 'zod';

import type { RowKey, Write } from '../table/table.js';

export const leaseRecordSchema = z.object({
  holder: z.string(),
  /** Incarnation of the holder. */
  incarnation: z.string(),
  /** Rises by one with every take-over. */
  fencing: z.number().int().positive(),
  released: z.boolean(),
});
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

export const getLeaseRowKey = (name: string): RowKey => ({
  partition: 'leases',
  sort: name,
});

/** Renewals move a row of their own, so that the lease row stays checkable. */
export const getRenewalRowKey = (name: string): RowKey => ({
  partition: 'lease-renewals',
  sort: name,
});

export interface LeaseOptions {
  readonly name: string;
  readonly record: LeaseRecord;
  /** Versions of the lease row and of the renewal row. */
  readonly version: number;
  readonly renewalVersion: number;
  readonly expiresAtMs: number;
}

/**
 * Authority under a name. `held` is for not starting what is sure to fail;
 * what makes a late write harmless is `guard` in the same transaction.
 */
export class Lease {
  readonly name: string;
  readonly record: LeaseRecord;
  readonly version: number;
  readonly #endController = new AbortController();
  #renewalVersion: number;
  #expiresAtMs: number;

  constructor(options: LeaseOptions) {
    this.name = options.name;
    this.record = options.record;
    this.version = options.version;
    this.#renewalVersion = options.renewalVersion;
    this.#expiresAtMs = options.expiresAtMs;
  }

  get fencingToken(): number {
    return this.record.fencing;
  }

  /** False once lost, released or expired by the local monotonic clock. */
  get isHeld(): boolean {
    return !this.signal.aborted && performance.now() < this.#expiresAtMs;
  }

  /** Aborts when the lease ends. */
  get signal(): AbortSignal {
    return this.#endController.signal;
  }

  get renewalVersion(): number {
    return this.#renewalVersion;
  }

  get remainingMs(): number {
    return Math.max(0, this.#expiresAtMs - performance.now());
  }

  /** Step that makes a transaction fail once another holder took the lease. */
  createFencingCheck(): Write {
    return {
      kind: 'check',
      key: getLeaseRowKey(this.name),
      condition: { kind: 'version', version: this.version },
    };
  }

  extendUntil(expiresAtMs: number): void {
    this.#renewalVersion += 1;
    this.#expiresAtMs = expiresAtMs;
  }

  markEnded(): void {
    this.#endController.abort();
  }
}
