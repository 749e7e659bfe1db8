/** Takes, renews and releases leases for this process. */
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

/** A lease is taken over after it stood still this many durations. */
const takeoverDelayFactor = 1.5;

/** A lease is renewed this many times in its duration. */
const renewalsPerDuration = 3;

/** The process that holds leases and gives orders. */
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

/** Rows of a lease as last seen, and since when they stand still. */
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

export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #observations = new Map<string, LeaseObservation>();
  readonly #durationMs: number;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#durationMs = options.leaseDurationMs ?? defaultLeaseDurationMs;
  }

  /**
   * Tries once. `authority_lost` says when to come back while another process
   * holds the lease: it is taken over after its rows stood still for one and
   * a half durations of this process's clock.
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
        throw new Failure('authority_lost', `lease "${name}" is held`, {
          retryAfterMs: waitMs,
          details: { holder },
        });
      }
      return unwrap(
        this.#takeLease(name, { leaseRow: lease, renewalRow: renewal }),
      );
    });
  }

  /** Gives the lease up so that another process need not wait for it. */
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

  /** Milliseconds until the lease may be taken; 0 when it may be now. */
  #computeWaitMs(name: string, rows: LeaseRows): number {
    const record = parseLeaseRecord(rows.leaseRow);
    if (record === undefined || record.released) return 0;
    if (record.incarnation === this.#options.self.incarnation) return 0;
    const nowMs = performance.now();
    const stamp = `${rows.leaseRow?.version ?? 0}/${rows.renewalRow?.version ?? 0}`;
    const observed = this.#observations.get(name);
    if (observed?.versionStamp !== stamp) {
      this.#observations.set(name, {
        versionStamp: stamp,
        unchangedSinceMs: nowMs,
      });
      return this.#durationMs * takeoverDelayFactor;
    }
    const stoodMs = nowMs - observed.unchangedSinceMs;
    return Math.max(0, this.#durationMs * takeoverDelayFactor - stoodMs);
  }

  /** The renewal row is part of the condition: a late renewal wins. */
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
    const renewMs = this.#durationMs / renewalsPerDuration;
    while (await sleep(addJitter(renewMs, random), lease.signal)) {
      if (!lease.isHeld || !(await this.#renewLease(lease))) break;
    }
    if (lease.signal.aborted) return;
    lease.markEnded();
    log.writeEvent('lease_lost', {
      lease: lease.name,
      fencing: lease.fencingToken,
    });
  }

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
    const renewed = commit
      .map(({ kind }) => kind === 'committed')
      .orDefault(false);
    if (renewed) lease.extendUntil(startMs + this.#durationMs);
    return renewed;
  }
}
