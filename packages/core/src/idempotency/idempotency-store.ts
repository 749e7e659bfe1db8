/** Writes claims and their results; resolves lost answers by the token. */
import { randomUUID } from 'node:crypto';

import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { settle, settledKind } from '../table/commit-with-retry.js';
import type { Commit, Row, Table, Write } from '../table/table.js';

import { claimRowKey, storedClaimOf } from './idempotency-record.js';
import type { Claim, ClaimName, StoredClaim } from './idempotency-record.js';

/** A claim that this process made and must settle. */
export interface HeldClaim {
  readonly name: ClaimName;
  readonly stored: StoredClaim;
}

/** What came of an attempt to claim. */
export type ClaimAttempt =
  | { readonly kind: 'claimed'; readonly held: HeldClaim }
  /** Another claim stands; nothing was written. */
  | { readonly kind: 'taken'; readonly stored: StoredClaim }
  /** Certainly not written. */
  | { readonly kind: 'unsent' }
  /** May have been written, or may still be; `held` must be released. */
  | { readonly kind: 'unsettled'; readonly held: HeldClaim };

export interface ClaimStoreOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
}

export class ClaimStore {
  constructor(readonly options: ClaimStoreOptions) {}

  /** Claims the key, over a released claim when one is given. */
  async claim(
    name: ClaimName,
    claim: Claim,
    released: StoredClaim | undefined,
    signal: AbortSignal,
  ): Promise<ClaimAttempt> {
    const version = released?.version ?? 0;
    const held = { name, stored: { claim, version: version + 1 } };
    const ended = await this.#settle(claim.token, this.#put(held), signal);
    const kind = settledKind(ended);
    if (kind === 'committed') return { kind: 'claimed', held };
    if (kind === 'unsettled') return { kind: 'unsettled', held };
    const row = ended.map(standingRow).orDefault(undefined);
    if (row !== undefined) return { kind: 'taken', stored: storedClaimOf(row) };
    return { kind: 'unsent' };
  }

  /**
   * Waits until it is known whether an unsettled claim was written. False
   * when it was not and never will be, or when the signal ended the wait.
   */
  async confirm(held: HeldClaim, signal: AbortSignal): Promise<boolean> {
    const { token } = held.stored.claim;
    const ended = await this.#settle(token, this.#put(held), signal, true);
    return settledKind(ended) === 'committed';
  }

  /** Replaces a claim by what became of it; false when it has moved on. */
  async settle(
    held: HeldClaim,
    change: Partial<Claim>,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { claim, version } = held.stored;
    const next = { claim: { ...claim, ...change }, version: version + 1 };
    const write = this.#put({ name: held.name, stored: next });
    const ended = await this.#settle(randomUUID(), write, signal, true);
    return settledKind(ended) === 'committed';
  }

  async read(
    name: ClaimName,
  ): Promise<Either<Failure, StoredClaim | undefined>> {
    const rows = await this.options.table.read([claimRowKey(name)]);
    const first = ([row]: readonly (Row | undefined)[]) => row;
    return rows
      .map(first)
      .map(row => (row === undefined ? undefined : storedClaimOf(row)));
  }

  /** The write that makes `held.stored` follow the version before it. */
  #put(held: HeldClaim): Write {
    const { claim, version } = held.stored;
    const condition =
      version === 1
        ? ({ kind: 'absent' } as const)
        : ({ kind: 'version', version: version - 1 } as const);
    const key = claimRowKey(held.name);
    return { kind: 'put', key, condition, value: claim };
  }

  #settle(
    token: string,
    write: Write,
    signal: AbortSignal,
    repeatsRefused = false,
  ): Promise<Either<Failure, Commit>> {
    const transaction = { token, writes: [write] };
    return settle({
      ...this.options,
      transaction,
      signal,
      repeatsRefused,
      patienceMs: Infinity,
    });
  }
}

/** The row in the way of the write, if one was. */
const standingRow = (commit: Commit): Row | undefined =>
  commit.kind === 'conflict' ? commit.rows[0] : undefined;
