/** Acquires, renews and releases leases for this process. */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runCatching } from '../shared/run-catching.js';
import { addJitter, sleep } from '../shared/time.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import type { Condition, Row, Table, Write } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';

import {
  createLeaseLostFailure,
  commitUnderLease,
} from './commit-under-lease.js';
import {
  Lease,
  getLeaseRowKey,
  leaseRecordSchema,
  getRenewalRowKey,
} from './lease.js';
import type { LeaseRecord } from './lease.js';

const defaultLeaseDurationMs = 10_000;

/** Lease durations without a renewal after which a lease is taken over. */
const takeoverDelayFactor = 1.5;

/** Renewals of a lease per lease duration. */
const renewalsPerDuration = 3;

/** The process that holds leases and sends commands. */
export interface ProcessIdentity {
  readonly name: string;
  readonly incarnation: string;
}

export interface LeaseManagerOptions {
  readonly table: Table;
  readonly self: ProcessIdentity;
  readonly random: () => number;
  readonly log: Log;
  readonly leaseDurationMs?: number;
}

/**
 * Versions of the rows of a lease when they were last read, and the time since
 * when they have not changed, in milliseconds of the monotonic clock.
 */
interface LeaseObservation {
  readonly versionStamp: string;
  readonly unchangedSinceMs: number;
}

interface LeaseRows {
  readonly leaseRow: Row | undefined;
  readonly renewalRow: Row | undefined;
}

const createUnchangedCondition = (row: Row | undefined): Condition =>
  row === undefined
    ? { kind: 'absent' }
    : { kind: 'version', version: row.version };

const parseLeaseRecord = (row: Row | undefined): LeaseRecord | undefined =>
  row === undefined ? undefined : leaseRecordSchema.parse(row.value);

/** Detects expired leases by the monotonic clock of this process. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #observations = new Map<string, LeaseObservation>();
  readonly #durationMs: number;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#durationMs = options.leaseDurationMs ?? defaultLeaseDurationMs;
  }

  /**
   * Tries once to acquire the lease and then renews it until it ends. Fails with
   * `authority_lost` and a retry delay while another process holds the lease.
   * Takes the lease over after its rows have not changed for one and a half
   * lease durations, measured by the monotonic clock of this process.
   */
  acquireLease(name: string): Promise<Either<Failure, Lease>> {
    return runCatching(async unwrap => {
      const keys = [getLeaseRowKey(name), getRenewalRowKey(name)];
      const [lease, renewal] = await unwrap(this.#options.table.readRows(keys));
      const waitMs = this.#computeWaitMs(name, {
        leaseRow: lease,
        renewalRow: renewal,
      });
      if (waitMs > 0) {
        const holder = parseLeaseRecord(lease)?.holder;
        throw new Failure(
          'authority_lost',
          `lease "${name}" is held by another process`,
          {
            retryAfterMs: waitMs,
            details: { holder },
          },
        );
      }
      return unwrap(
        this.#takeLease(name, { leaseRow: lease, renewalRow: renewal }),
      );
    });
  }

  /** Releases the lease, so that another process can acquire it at once. */
  async releaseLease(lease: Lease): Promise<Either<Failure, void>> {
    const { table, random, log } = this.#options;
    if (lease.signal.aborted) return Left(createLeaseLostFailure(lease.name));
    lease.markEnded();
    const write: Write = {
      kind: 'put',
      key: getLeaseRowKey(lease.name),
      condition: { kind: 'version', version: lease.version },
      value: { ...lease.record, released: true },
    };
    const transaction = { token: createRandomToken(random), writes: [write] };
    const commit = await commitWithRetry({ table, transaction, random, log });
    return commit.map(() => undefined);
  }

  /** Milliseconds until the lease can be taken over; 0 if it can be now. */
  #computeWaitMs(name: string, rows: LeaseRows): number {
    const record = parseLeaseRecord(rows.leaseRow);
    if (record === undefined || record.released) return 0;
    if (record.incarnation === this.#options.self.incarnation) return 0;
    const nowMs = performance.now();
    const versionStamp = `${rows.leaseRow?.version ?? 0}/${rows.renewalRow?.version ?? 0}`;
    const observation = this.#observations.get(name);
    if (observation?.versionStamp !== versionStamp) {
      this.#observations.set(name, {
        versionStamp,
        unchangedSinceMs: nowMs,
      });
      return this.#durationMs * takeoverDelayFactor;
    }
    const unchangedMs = nowMs - observation.unchangedSinceMs;
    return Math.max(0, this.#durationMs * takeoverDelayFactor - unchangedMs);
  }

  /**
   * Writes the lease row and the renewal row if neither has changed. A renewal
   * that commits first therefore prevents the take-over.
   */
  #takeLease(name: string, rows: LeaseRows): Promise<Either<Failure, Lease>> {
    const { table, self, random, log } = this.#options;
    const startMs = performance.now();
    const record: LeaseRecord = {
      holder: self.name,
      incarnation: self.incarnation,
      fencing: (parseLeaseRecord(rows.leaseRow)?.fencing ?? 0) + 1,
      released: false,
    };
    const writes: Write[] = [
      {
        kind: 'put',
        key: getLeaseRowKey(name),
        condition: createUnchangedCondition(rows.leaseRow),
        value: record,
      },
      {
        kind: 'put',
        key: getRenewalRowKey(name),
        condition: createUnchangedCondition(rows.renewalRow),
        value: { fencing: record.fencing },
      },
    ];
    const transaction = { token: createRandomToken(random), writes };
    return runCatching(async unwrap => {
      const commit = await unwrap(
        commitWithRetry({ table, transaction, random, log }),
      );
      if (commit.kind === 'conflict') throw createLeaseLostFailure(name);
      const lease = new Lease({
        name,
        record,
        version: (rows.leaseRow?.version ?? 0) + 1,
        renewalVersion: (rows.renewalRow?.version ?? 0) + 1,
        expiresAtMs: startMs + this.#durationMs,
      });
      log.writeEvent('lease_acquired', {
        lease: name,
        fencing: record.fencing,
      });
      void this.#renewUntilEnded(lease);
      return lease;
    });
  }

  /** Renews until the lease is released, taken over or expired. */
  async #renewUntilEnded(lease: Lease): Promise<void> {
    const { random, log } = this.#options;
    const renewalIntervalMs = this.#durationMs / renewalsPerDuration;
    while (await sleep(addJitter(renewalIntervalMs, random), lease.signal)) {
      if (!lease.isHeld || !(await this.#renewLease(lease))) break;
    }
    if (lease.signal.aborted) return;
    lease.markEnded();
    log.writeEvent('lease_lost', {
      lease: lease.name,
      fencing: lease.fencingToken,
    });
  }

  /** Returns whether the renewal was committed. */
  async #renewLease(lease: Lease): Promise<boolean> {
    const { table, random, log } = this.#options;
    const startMs = performance.now();
    const write: Write = {
      kind: 'put',
      key: getRenewalRowKey(lease.name),
      condition: { kind: 'version', version: lease.renewalVersion },
      value: { fencing: lease.fencingToken },
    };
    const commit = await commitUnderLease({
      table,
      lease,
      writes: [write],
      random,
      log,
      retryTimeoutMs: lease.remainingMs,
    });
    const isRenewed = commit
      .map(({ kind }) => kind === 'committed')
      .orDefault(false);
    if (isRenewed) lease.extendUntil(startMs + this.#durationMs);
    return isRenewed;
  }
}
