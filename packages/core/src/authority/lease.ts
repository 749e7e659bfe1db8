/** A lease that this process holds, and its rows in the table. */
import { z } from 'zod';

import { createNextVersion } from '../table/row-version.js';
import type { RowVersion } from '../table/row-version.js';
import type { RowKey, Write } from '../table/table.js';

/** Value of the lease row. */
export const leaseRecordSchema = z.object({
  holder: z.string(),
  /** Incarnation of the holder. */
  incarnation: z.string(),
  /** Fencing token; increases each time the lease is acquired. */
  fencing: z.number().int().positive(),
  released: z.boolean(),
});
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** Key of the row that names the holder of the lease. */
export const getLeaseRowKey = (name: string): RowKey => ({
  partition: 'leases',
  sort: name,
});

/**
 * Key of the row that each renewal writes. Renewals leave the lease row as it
 * is, so that fencing checks can compare its version.
 */
export const getRenewalRowKey = (name: string): RowKey => ({
  partition: 'lease-renewals',
  sort: name,
});

export interface LeaseOptions {
  readonly name: string;
  readonly record: LeaseRecord;
  /** Version of the lease row. */
  readonly version: RowVersion;
  /** Version of the renewal row. */
  readonly renewalVersion: RowVersion;
  /** Expiry in milliseconds of the monotonic clock (`performance.now`). */
  readonly expiresAtMs: number;
}

/**
 * A lease acquired by this process. Check `isHeld` to avoid work that cannot
 * succeed. Only `createFencingCheck` in the same transaction prevents a write
 * after the lease was lost.
 */
export class Lease {
  readonly name: string;
  readonly record: LeaseRecord;
  readonly version: RowVersion;
  readonly #endController = new AbortController();
  #renewalVersion: RowVersion;
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

  /** False once the lease is lost, released or expired (monotonic clock). */
  get isHeld(): boolean {
    return !this.signal.aborted && performance.now() < this.#expiresAtMs;
  }

  /** Aborts when the lease ends. */
  get signal(): AbortSignal {
    return this.#endController.signal;
  }

  get renewalVersion(): RowVersion {
    return this.#renewalVersion;
  }

  /** Milliseconds until expiry; 0 after it. */
  get remainingMs(): number {
    return Math.max(0, this.#expiresAtMs - performance.now());
  }

  /** Write that makes a transaction fail once another process has the lease. */
  createFencingCheck(): Write {
    return {
      kind: 'check',
      key: getLeaseRowKey(this.name),
      condition: { kind: 'version', version: this.version },
    };
  }

  /** Records a committed renewal; `expiresAtMs` is on the monotonic clock. */
  extendUntil(expiresAtMs: number): void {
    this.#renewalVersion = createNextVersion(this.#renewalVersion);
    this.#expiresAtMs = expiresAtMs;
  }

  /** Marks the lease as lost or released and aborts `signal`. */
  markEnded(): void {
    this.#endController.abort();
  }
}
