/** Writes claims and their results; resolves lost answers by the token. */
import { randomUUID } from 'node:crypto';

import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import {
  commitWithRetry,
  getCommitOutcome,
} from '../table/commit-with-retry.js';
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

/** A claim that this process made and must settle. */
export interface OwnedRecord {
  readonly name: IdempotencyRecordKey;
  readonly stored: StoredRecord;
}

/** What came of an attempt to claim. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly held: OwnedRecord }
  /** Another claim stands; nothing was written. */
  | { readonly kind: 'taken'; readonly stored: StoredRecord }
  /** Certainly not written. */
  | { readonly kind: 'unsent' }
  /** May have been written, or may still be; `held` must be released. */
  | { readonly kind: 'unsettled'; readonly held: OwnedRecord };

export interface IdempotencyStoreOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
}

export class IdempotencyStore {
  constructor(readonly options: IdempotencyStoreOptions) {}

  /** Claims the key, over a released claim when one is given. */
  async claimKey(
    name: IdempotencyRecordKey,
    claim: IdempotencyRecord,
    released: StoredRecord | undefined,
    signal: AbortSignal,
  ): Promise<ClaimResult> {
    const version = released?.version ?? 0;
    const held = { name, stored: { claim, version: version + 1 } };
    const ended = await this.#commitWrite(
      claim.token,
      this.#createWrite(held),
      signal,
    );
    const kind = getCommitOutcome(ended);
    if (kind === 'committed') return { kind: 'claimed', held };
    if (kind === 'unsettled') return { kind: 'unsettled', held };
    const row = ended.map(getConflictingRow).orDefault(undefined);
    if (row !== undefined)
      return { kind: 'taken', stored: parseStoredRecord(row) };
    return { kind: 'unsent' };
  }

  /**
   * Waits until it is known whether an unsettled claim was written. False
   * when it was not and never will be, or when the signal ended the wait.
   */
  async confirmWrite(held: OwnedRecord, signal: AbortSignal): Promise<boolean> {
    const { token } = held.stored.claim;
    const ended = await this.#commitWrite(
      token,
      this.#createWrite(held),
      signal,
      true,
    );
    return getCommitOutcome(ended) === 'committed';
  }

  /** Replaces a claim by what became of it; false when it has moved on. */
  async updateRecord(
    held: OwnedRecord,
    change: Partial<IdempotencyRecord>,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { claim, version } = held.stored;
    const next = { claim: { ...claim, ...change }, version: version + 1 };
    const write = this.#createWrite({ name: held.name, stored: next });
    const ended = await this.#commitWrite(randomUUID(), write, signal, true);
    return getCommitOutcome(ended) === 'committed';
  }

  async readRecord(
    name: IdempotencyRecordKey,
  ): Promise<Either<Failure, StoredRecord | undefined>> {
    const rows = await this.options.table.readRows([
      getIdempotencyRowKey(name),
    ]);
    const first = ([row]: readonly (Row | undefined)[]) => row;
    return rows
      .map(first)
      .map(row => (row === undefined ? undefined : parseStoredRecord(row)));
  }

  /** The write that makes `held.stored` follow the version before it. */
  #createWrite(held: OwnedRecord): Write {
    const { claim, version } = held.stored;
    const condition =
      version === 1
        ? ({ kind: 'absent' } as const)
        : ({ kind: 'version', version: version - 1 } as const);
    const key = getIdempotencyRowKey(held.name);
    return { kind: 'put', key, condition, value: claim };
  }

  #commitWrite(
    token: string,
    write: Write,
    signal: AbortSignal,
    repeatsRefused = false,
  ): Promise<Either<Failure, CommitResult>> {
    const transaction = { token, writes: [write] };
    return commitWithRetry({
      ...this.options,
      transaction,
      signal,
      shouldRetryUnsent: repeatsRefused,
      retryTimeoutMs: Infinity,
    });
  }
}

/** The row in the way of the write, if one was. */
const getConflictingRow = (commit: CommitResult): Row | undefined =>
  commit.kind === 'conflict' ? commit.rows[0] : undefined;
