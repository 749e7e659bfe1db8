/**
 * Reads and writes idempotency records: a process claims a key by writing its
 * record before it runs the operation. After a lost response, the transaction
 * token shows whether a write was committed.
 */
import { randomUUID } from 'node:crypto';

import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import {
  commitWithRetry,
  getCommitOutcome,
} from '../table/commit-with-retry.js';
import { createWrittenVersion } from '../table/row-version.js';
import type { RowVersion } from '../table/row-version.js';
import { createUnchangedCondition } from '../table/table.js';
import type { CommitResult, Row, Table, Write } from '../table/table.js';

import {
  getIdempotencyRowKey,
  parseStoredRecord,
} from './idempotency-record.js';
import type {
  IdempotencyRecord,
  IdempotencyRecordKey,
  StoredRecord,
} from './idempotency-record.js';

/**
 * The record of a key that this process has claimed and must complete or
 * release.
 */
export interface OwnedRecord {
  readonly name: IdempotencyRecordKey;
  readonly stored: StoredRecord;
  /** Version of the row that the record replaces; absent for a new row. */
  readonly previousVersion: RowVersion | undefined;
}

/** Result of an attempt to claim a key. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly held: OwnedRecord }
  /** Another claim exists; nothing was written. */
  | { readonly kind: 'taken'; readonly stored: StoredRecord }
  /** The claim was certainly not written. */
  | { readonly kind: 'unsent' }
  /** The claim may have been or may still be written; release `held`. */
  | { readonly kind: 'unsettled'; readonly held: OwnedRecord };

export interface IdempotencyStoreOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
}

/** Stores one row for each idempotency key. */
export class IdempotencyStore {
  constructor(readonly options: IdempotencyStoreOptions) {}

  /** Claims the key, replacing `releasedRecord` if it is given. */
  async claimKey(
    name: IdempotencyRecordKey,
    claim: IdempotencyRecord,
    releasedRecord: StoredRecord | undefined,
    signal: AbortSignal,
  ): Promise<ClaimResult> {
    const held = this.#createOwnedRecord(name, claim, releasedRecord?.version);
    const commitResult = await this.#commitWrite(
      claim.token,
      this.#createWrite(held),
      signal,
    );
    const kind = getCommitOutcome(commitResult);
    if (kind === 'committed') return { kind: 'claimed', held };
    if (kind === 'unsettled') return { kind: 'unsettled', held };
    const row = commitResult.map(getConflictingRow).orDefault(undefined);
    if (row !== undefined)
      return { kind: 'taken', stored: parseStoredRecord(row) };
    return { kind: 'unsent' };
  }

  /**
   * Repeats an unsettled write until its outcome is known. Returns false when
   * the claim was not and never will be written, or when the signal aborted.
   */
  async confirmWrite(
    ownedRecord: OwnedRecord,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { token } = ownedRecord.stored.record;
    const commitResult = await this.#commitWrite(
      token,
      this.#createWrite(ownedRecord),
      signal,
      true,
    );
    return getCommitOutcome(commitResult) === 'committed';
  }

  /**
   * Changes the record of a claimed key, retrying until the outcome is known.
   * Returns false when the row has another version or the signal aborted.
   */
  async updateRecord(
    ownedRecord: OwnedRecord,
    change: Partial<IdempotencyRecord>,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { record: claim, version } = ownedRecord.stored;
    const write = this.#createWrite(
      this.#createOwnedRecord(
        ownedRecord.name,
        { ...claim, ...change },
        version,
      ),
    );
    const commitResult = await this.#commitWrite(
      randomUUID(),
      write,
      signal,
      true,
    );
    return getCommitOutcome(commitResult) === 'committed';
  }

  /**
   * Writes the record of a claim again if a restore of the table has lost it.
   * Returns false if the table gave no definite answer or changed meanwhile.
   */
  async restoreRecord(
    name: IdempotencyRecordKey,
    record: IdempotencyRecord,
  ): Promise<boolean> {
    const stored = (await this.readRecord(name)).extract();
    if (stored instanceof Failure) return false;
    if (stored !== undefined && !isOlderRecord(stored.record, record))
      return true;
    const owned = this.#createOwnedRecord(name, record, stored?.version);
    const transaction = {
      token: randomUUID(),
      writes: [this.#createWrite(owned)],
    };
    const commit = await this.options.table.commitTransaction(transaction);
    return commit.map(({ kind }) => kind === 'committed').orDefault(false);
  }

  /** Reads the record of a key; `undefined` when there is none. */
  async readRecord(
    name: IdempotencyRecordKey,
  ): Promise<Either<Failure, StoredRecord | undefined>> {
    const rows = await this.options.table.readRows([
      getIdempotencyRowKey(name),
    ]);
    const getFirstRow = ([row]: readonly (Row | undefined)[]) => row;
    return rows
      .map(getFirstRow)
      .map(row => (row === undefined ? undefined : parseStoredRecord(row)));
  }

  #createOwnedRecord(
    name: IdempotencyRecordKey,
    record: IdempotencyRecord,
    previousVersion: RowVersion | undefined,
  ): OwnedRecord {
    const { currentEra } = this.options.table.eras;
    const version = createWrittenVersion(previousVersion, currentEra);
    return { name, stored: { record, version }, previousVersion };
  }

  #createWrite({ name, stored, previousVersion }: OwnedRecord): Write {
    return {
      kind: 'put',
      key: getIdempotencyRowKey(name),
      condition: createUnchangedCondition(previousVersion),
      value: stored.record,
    };
  }

  #commitWrite(
    token: string,
    write: Write,
    signal: AbortSignal,
    shouldRetryUnsent = false,
  ): Promise<Either<Failure, CommitResult>> {
    const transaction = { token, writes: [write] };
    return commitWithRetry({
      ...this.options,
      transaction,
      signal,
      shouldRetryUnsent,
      retryTimeoutMs: Infinity,
    });
  }
}

/** True if the stored record is an earlier state of the same claim. */
const isOlderRecord = (
  stored: IdempotencyRecord,
  record: IdempotencyRecord,
): boolean =>
  stored.token === record.token &&
  stored.state === 'running' &&
  record.state !== 'running';

/** Returns the row that conflicts with the write, if any. */
const getConflictingRow = (commit: CommitResult): Row | undefined =>
  commit.kind === 'conflict' ? commit.rows[0] : undefined;
