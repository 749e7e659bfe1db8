/** Takes, renews and releases leases for this process. */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runSteps } from '../shared/run-catching.js';
import { jittered, sleep } from '../shared/time.js';
import { settle } from '../table/commit-with-retry.js';
import type { Condition, Row, Table, Write } from '../table/table.js';
import { randomToken } from '../table/random-token.js';

import { authorityLost, guardedCommit } from './commit-under-lease.js';
import { Lease, leaseKey, leaseRecordSchema, renewalKey } from './lease.js';
import type { LeaseRecord } from './lease.js';

const defaultDurationMs = 10_000;

/** A lease is taken over after it stood still this many durations. */
const takeoverFactor = 1.5;

/** A lease is renewed this many times in its duration. */
const renewalsPerDuration = 3;

/** The process that holds leases and gives orders. */
export interface Holder {
  readonly name: string;
  readonly incarnation: string;
}

export interface LeaseKeeperOptions {
  readonly table: Table;
  readonly self: Holder;
  readonly random: () => number;
  readonly log: Log;
  readonly durationMs?: number;
}

/** Rows of a lease as last seen, and since when they stand still. */
interface Observation {
  readonly stamp: string;
  readonly sinceMs: number;
}

interface LeaseRows {
  readonly lease: Row | undefined;
  readonly renewal: Row | undefined;
}

const unchanged = (row: Row | undefined): Condition =>
  row === undefined
    ? { kind: 'absent' }
    : { kind: 'version', version: row.version };

const recordOf = (row: Row | undefined): LeaseRecord | undefined =>
  row === undefined ? undefined : leaseRecordSchema.parse(row.value);

export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  readonly #observed = new Map<string, Observation>();
  readonly #durationMs: number;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
    this.#durationMs = options.durationMs ?? defaultDurationMs;
  }

  /**
   * Tries once. `authority_lost` says when to come back while another process
   * holds the lease: it is taken over after its rows stood still for one and
   * a half durations of this process's clock.
   */
  acquire(name: string): Promise<Either<Failure, Lease>> {
    return runSteps(async unwrap => {
      const keys = [leaseKey(name), renewalKey(name)];
      const [lease, renewal] = await unwrap(this.#options.table.read(keys));
      const waitMs = this.#waitMs(name, { lease, renewal });
      if (waitMs > 0) {
        const holder = recordOf(lease)?.holder;
        throw new Failure('authority_lost', `lease "${name}" is held`, {
          retryAfterMs: waitMs,
          details: { holder },
        });
      }
      return unwrap(this.#take(name, { lease, renewal }));
    });
  }

  /** Gives the lease up so that another process need not wait for it. */
  async release(lease: Lease): Promise<Either<Failure, void>> {
    const { table, random, log } = this.#options;
    if (lease.signal.aborted) return Left(authorityLost(lease.name));
    lease.end();
    const write: Write = {
      kind: 'put',
      key: leaseKey(lease.name),
      condition: { kind: 'version', version: lease.version },
      value: { ...lease.record, released: true },
    };
    const transaction = { token: randomToken(random), writes: [write] };
    const commit = await settle({ table, transaction, random, log });
    return commit.map(() => undefined);
  }

  /** Milliseconds until the lease may be taken; 0 when it may be now. */
  #waitMs(name: string, rows: LeaseRows): number {
    const record = recordOf(rows.lease);
    if (record === undefined || record.released) return 0;
    if (record.incarnation === this.#options.self.incarnation) return 0;
    const nowMs = performance.now();
    const stamp = `${rows.lease?.version ?? 0}/${rows.renewal?.version ?? 0}`;
    const observed = this.#observed.get(name);
    if (observed?.stamp !== stamp) {
      this.#observed.set(name, { stamp, sinceMs: nowMs });
      return this.#durationMs * takeoverFactor;
    }
    const stoodMs = nowMs - observed.sinceMs;
    return Math.max(0, this.#durationMs * takeoverFactor - stoodMs);
  }

  /** The renewal row is part of the condition: a late renewal wins. */
  #take(name: string, rows: LeaseRows): Promise<Either<Failure, Lease>> {
    const { table, self, random, log } = this.#options;
    const startMs = performance.now();
    const record: LeaseRecord = {
      holder: self.name,
      incarnation: self.incarnation,
      fencing: (recordOf(rows.lease)?.fencing ?? 0) + 1,
      released: false,
    };
    const writes: Write[] = [
      {
        kind: 'put',
        key: leaseKey(name),
        condition: unchanged(rows.lease),
        value: record,
      },
      {
        kind: 'put',
        key: renewalKey(name),
        condition: unchanged(rows.renewal),
        value: { fencing: record.fencing },
      },
    ];
    const transaction = { token: randomToken(random), writes };
    return runSteps(async unwrap => {
      const commit = await unwrap(settle({ table, transaction, random, log }));
      if (commit.kind === 'conflict') throw authorityLost(name);
      const lease = new Lease({
        name,
        record,
        version: (rows.lease?.version ?? 0) + 1,
        renewalVersion: (rows.renewal?.version ?? 0) + 1,
        expiresAtMs: startMs + this.#durationMs,
      });
      log.event('lease_acquired', { lease: name, fencing: record.fencing });
      void this.#keep(lease);
      return lease;
    });
  }

  /** Renews until the lease is released, taken over or expired. */
  async #keep(lease: Lease): Promise<void> {
    const { random, log } = this.#options;
    const renewMs = this.#durationMs / renewalsPerDuration;
    while (await sleep(jittered(renewMs, random), lease.signal)) {
      if (!lease.held || !(await this.#renew(lease))) break;
    }
    if (lease.signal.aborted) return;
    lease.end();
    log.event('lease_lost', { lease: lease.name, fencing: lease.fencing });
  }

  async #renew(lease: Lease): Promise<boolean> {
    const { table, random, log } = this.#options;
    const startMs = performance.now();
    const write: Write = {
      kind: 'put',
      key: renewalKey(lease.name),
      condition: { kind: 'version', version: lease.renewalVersion },
      value: { fencing: lease.fencing },
    };
    const commit = await guardedCommit({
      table,
      lease,
      writes: [write],
      random,
      log,
      patienceMs: lease.leftMs,
    });
    const renewed = commit
      .map(({ kind }) => kind === 'committed')
      .orDefault(false);
    if (renewed) lease.renewed(startMs + this.#durationMs);
    return renewed;
  }
}
