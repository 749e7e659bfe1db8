/** Commits a transaction with retries, although responses may be lost. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { ResultName } from '../shared/result-codes.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import type { CommitResult, Row, Table, Transaction } from './table.js';

const defaultRetryTimeoutMs = 15_000;
const initialRetryDelayMs = 100;
const maxRetryDelayMs = 2_000;

/**
 * Milliseconds for which the platform is relied on to apply a token only once.
 * DynamoDB remembers a token for ten minutes.
 */
const tokenRetentionMs = 5 * 60_000;

const retryableCodes: ReadonlySet<ResultName> = new Set([
  'platform_unavailable',
  'platform_unknown',
  'platform_budget',
]);

export interface CommitWithRetryOptions {
  readonly table: Table;
  /**
   * Each put needs the condition `version` or `absent` on a row that is never
   * deleted.
   */
  readonly transaction: Transaction;
  readonly random: () => number;
  /**
   * Milliseconds from the first call after which no retry is started;
   * `defaultRetryTimeoutMs` by default, `Infinity` for no limit.
   */
  readonly retryTimeoutMs?: number;
  /** Whether to retry calls that certainly had no effect; true by default. */
  readonly shouldRetryUnsent?: boolean;
  /** Ends the retries when aborted. */
  readonly signal?: AbortSignal;
  readonly log?: Log;
}

/**
 * Outcome of a transaction. `unsent`: the transaction certainly had no effect.
 * `unsettled`: the retries ended by timeout or abort, and the transaction may
 * have taken effect or may still do so.
 */
export type CommitOutcome = CommitResult['kind'] | 'unsent' | 'unsettled';

/** True if a row of the transaction still has the version that it wrote. */
const hasWrittenRow = (
  transaction: Transaction,
  rows: readonly (Row | undefined)[],
) =>
  transaction.writes.some(
    (write, i) => write.kind === 'put' && rows[i]?.token === transaction.token,
  );

const computeRetryDelayMs = (attempt: number, random: () => number) =>
  addJitter(
    Math.min(maxRetryDelayMs, initialRetryDelayMs * 2 ** attempt),
    random,
    0.5,
  );

const createUndecidedFailure = (transaction: Transaction, cause?: Failure) =>
  new Failure(
    'platform_unknown',
    `the outcome of transaction ${transaction.token} is unknown: the platform gave no response`,
    { executed: 'unknown', cause, details: { token: transaction.token } },
  );

/**
 * Sends a transaction again, with the same token, until the platform's response
 * is definite.
 *
 * A conflict in response to a repeat is definite: row versions only rise, so an
 * earlier copy that is still in transit would fail as well. Only after a restore
 * of the store it is not, as the rows may again have the versions that an earlier
 * copy expects. The failure
 * `platform_unknown` means that the retries ended first; the caller must not
 * rely on the write and must not repeat it with another token.
 */
export const commitWithRetry = async (
  options: CommitWithRetryOptions,
): Promise<Either<Failure, CommitResult>> => {
  const { table, transaction, random, signal, log } = options;
  const { shouldRetryUnsent = true } = options;
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  const eraAtStart = table.eras.currentEra;
  const retryTimeoutMs = options.retryTimeoutMs ?? defaultRetryTimeoutMs;
  let isUncertain = false;

  const resolveCommit = (
    commit: CommitResult,
  ): Either<Failure, CommitResult> => {
    if (commit.kind === 'committed' || !isUncertain) return Right(commit);
    if (hasWrittenRow(transaction, commit.rows))
      return Right({ kind: 'committed' });
    const isDefinite =
      elapsedMs() < tokenRetentionMs && table.eras.currentEra === eraAtStart;
    return isDefinite
      ? Right(commit)
      : Left(createUndecidedFailure(transaction));
  };

  for (let attempt = 0; ; attempt += 1) {
    const response = await table.commitTransaction(transaction);
    if (response.isRight()) return resolveCommit(response.extract());
    const failure = response.extract() as Failure;
    const isRetryable = shouldRetryUnsent && retryableCodes.has(failure.code);
    if (failure.code === 'platform_unknown' && !isUncertain) {
      isUncertain = true;
      log?.writeEvent('write_unknown', { token: transaction.token });
    }
    if (!isUncertain && !isRetryable) return response;
    const delayMs = computeRetryDelayMs(attempt, random);
    const isTimedOut = elapsedMs() + delayMs > retryTimeoutMs;
    if (isTimedOut || !(await sleep(delayMs, signal))) {
      return Left(
        isUncertain ? createUndecidedFailure(transaction, failure) : failure,
      );
    }
  }
};

/**
 * Returns the outcome of a transaction from the result of `commitWithRetry`.
 */
export const getCommitOutcome = (
  result: Either<Failure, CommitResult>,
): CommitOutcome =>
  result.caseOf<CommitOutcome>({
    Left: ({ executed }) => (executed === 'unknown' ? 'unsettled' : 'unsent'),
    Right: ({ kind }) => kind,
  });
