/** Acquires, renews and releases leases for this process. */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runCatching } from '../shared/run-catching.js';
import { addJitter, sleep } from '../shared/time.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import { createUnchangedCondition } from '../table/table.js';
import type { Row, Table, Write } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';
import { createWrittenVersion, isSameVersion } from '../table/row-version.js';
import type { RowVersion } from '../table/row-version.js';

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

/**
 * Fencing tokens of one era of the store. The era is the upper part of a token,
 * so that no token is given out again after a restore forgot the latest ones.
 */
const fencingTokensPerEra = 2 ** 20;

/** The process that holds leases and sends commands. */
export interface ProcessIdentity {
  readonly name: string;
  readonly incarnation: string;
}

export interface LeasesOptions {
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
  readonly leaseVersion: RowVersion | undefined;
  readonly renewalVersion: RowVersion | undefined;
  readonly unchangedSinceMs: number;
}

interface LeaseRows {
  readonly leaseRow: Row | undefined;
  readonly renewalRow: Row | undefined;
}

const parseLeaseRecord = (row: Row | undefined): LeaseRecord | undefined =>
  row === undefined ? undefined : leaseRecordSchema.parse(row.value);

const createRestoredFailure = (name: string, waitMs: number): Failure =>
  new Failure(
    'authority_lost',
    `a holder of lease "${name}" from before the store was restored may still act`,
    { retryAfterMs: waitMs },
  );

/** Detects expired leases by the monotonic clock of this process. */
export class Leases {
  readonly #options: LeasesOptions;
  readonly #observations = new Map<string, LeaseObservation>();
  readonly #heldLeases = new Set<Lease>();
  readonly #durationMs: number;

  constructor(options: LeasesOptions) {
    this.#options = options;
    this.#durationMs = options.leaseDurationMs ?? defaultLeaseDurationMs;
    options.table.eras.onChange(() => {
      this.#endHeldLeases();
    });
  }

  /**
   * Tries once to acquire the lease and then renews it until it ends. Fails with
   * `authority_lost` and a retry delay while another process holds the lease.
   * Takes the lease over after its rows have not changed for one and a half
   * lease durations, measured by the monotonic clock of this process, and not
   * before a restore of the store is one lease duration old.
   */
  acquireLease(name: string): Promise<Either<Failure, Lease>> {
    return runCatching(async unwrap => {
      const keys = [getLeaseRowKey(name), getRenewalRowKey(name)];
      const { currentEra } = this.#options.table.eras;
      const [lease, renewal] = await unwrap(this.#options.table.readRows(keys));
      const rows = { leaseRow: lease, renewalRow: renewal };
      const eraWaitMs = this.#computeEraWaitMs();
      const waitMs = Math.max(eraWaitMs, this.#computeWaitMs(name, rows));
      if (eraWaitMs > 0) throw createRestoredFailure(name, waitMs);
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
      return unwrap(this.#takeLease(name, rows, currentEra));
    });
  }

  /** Releases the lease, so that another process can acquire it at once. */
  async releaseLease(lease: Lease): Promise<Either<Failure, void>> {
    const { table, random, log } = this.#options;
    if (lease.signal.aborted) return Left(createLeaseLostFailure(lease.name));
    lease.markEnded();
    this.#heldLeases.delete(lease);
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

  /**
   * Ends all leases, because the store was restored and may have forgotten them.
   * Another process may be the holder in the restored rows.
   */
  #endHeldLeases(): void {
    for (const lease of this.#heldLeases) this.#endLease(lease);
    this.#observations.clear();
  }

  /** Ends a lease that is lost; does nothing if it has already ended. */
  #endLease(lease: Lease): void {
    this.#heldLeases.delete(lease);
    if (lease.signal.aborted) return;
    lease.markEnded();
    this.#options.log.writeEvent('lease_lost', {
      lease: lease.name,
      fencing: lease.fencingToken,
    });
  }

  /**
   * Milliseconds until a holder from before the last restore has noticed that its
   * lease ended. It may be cut off from the store and still send until then.
   */
  #computeEraWaitMs(): number {
    const { currentEra, sinceMs } = this.#options.table.eras;
    if (currentEra === 0) return 0;
    return Math.max(0, sinceMs + this.#durationMs - performance.now());
  }

  /** Milliseconds until the lease can be taken over; 0 if it can be now. */
  #computeWaitMs(name: string, rows: LeaseRows): number {
    const record = parseLeaseRecord(rows.leaseRow);
    if (record === undefined || record.released) return 0;
    if (record.incarnation === this.#options.self.incarnation) return 0;
    const nowMs = performance.now();
    const leaseVersion = rows.leaseRow?.version;
    const renewalVersion = rows.renewalRow?.version;
    const observation = this.#observations.get(name);
    const isUnchanged =
      observation !== undefined &&
      isSameVersion(observation.leaseVersion, leaseVersion) &&
      isSameVersion(observation.renewalVersion, renewalVersion);
    if (!isUnchanged) {
      this.#observations.set(name, {
        leaseVersion,
        renewalVersion,
        unchangedSinceMs: nowMs,
      });
      return this.#durationMs * takeoverDelayFactor;
    }
    const unchangedMs = nowMs - observation.unchangedSinceMs;
    return Math.max(0, this.#durationMs * takeoverDelayFactor - unchangedMs);
  }

  /**
   * Writes the lease row and the renewal row if neither has changed since they
   * were read in the era. A renewal that commits first therefore prevents the
   * take-over.
   */
  #takeLease(
    name: string,
    rows: LeaseRows,
    era: number,
  ): Promise<Either<Failure, Lease>> {
    const { table, self, random, log } = this.#options;
    const startMs = performance.now();
    const record: LeaseRecord = {
      holder: self.name,
      incarnation: self.incarnation,
      fencing: Math.max(
        (parseLeaseRecord(rows.leaseRow)?.fencing ?? 0) + 1,
        era * fencingTokensPerEra + 1,
      ),
      released: false,
    };
    const writes: Write[] = [
      {
        kind: 'put',
        key: getLeaseRowKey(name),
        condition: createUnchangedCondition(rows.leaseRow?.version),
        value: record,
      },
      {
        kind: 'put',
        key: getRenewalRowKey(name),
        condition: createUnchangedCondition(rows.renewalRow?.version),
        value: { fencing: record.fencing },
      },
    ];
    const transaction = { token: createRandomToken(random), writes };
    return runCatching(async unwrap => {
      const commit = await unwrap(
        commitWithRetry({ table, transaction, random, log }),
      );
      const wasRestored = table.eras.currentEra !== era;
      if (commit.kind === 'conflict' || wasRestored)
        throw createLeaseLostFailure(name);
      const lease = new Lease({
        name,
        record,
        version: createWrittenVersion(rows.leaseRow?.version, era),
        renewalVersion: createWrittenVersion(rows.renewalRow?.version, era),
        expiresAtMs: startMs + this.#durationMs,
      });
      log.writeEvent('lease_acquired', {
        lease: name,
        fencing: record.fencing,
      });
      this.#heldLeases.add(lease);
      void this.#renewUntilEnded(lease);
      return lease;
    });
  }

  /** Renews until the lease is released, taken over or expired. */
  async #renewUntilEnded(lease: Lease): Promise<void> {
    const { random } = this.#options;
    const renewalIntervalMs = this.#durationMs / renewalsPerDuration;
    while (await sleep(addJitter(renewalIntervalMs, random), lease.signal)) {
      if (!lease.isHeld || !(await this.#renewLease(lease))) break;
    }
    this.#endLease(lease);
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
