/** Brings a transaction to a definite end although answers may be lost. */
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

/** How long the platform applies a token only once; DynamoDB keeps ten minutes. */
const tokenRetentionMs = 5 * 60_000;

const retryableCodes: ReadonlySet<ResultName> = new Set([
  'platform_unavailable',
  'platform_unknown',
  'platform_budget',
]);

export interface CommitWithRetryOptions {
  readonly table: Table;
  /** Each put must be guarded by a version or an absent row, never deleted. */
  readonly transaction: Transaction;
  readonly random: () => number;
  /** How long to go on re-sending the token; endless with `Infinity`. */
  readonly retryTimeoutMs?: number;
  /** Repeats also what the platform certainly did not take; so by default. */
  readonly shouldRetryUnsent?: boolean;
  readonly signal?: AbortSignal;
  readonly log?: Log;
}

/**
 * `unsent` certainly had no effect; `unsettled` may have had one, or may still
 * have one, when patience or signal ended the attempts.
 */
export type CommitOutcome = CommitResult['kind'] | 'unsent' | 'unsettled';

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
    `transaction ${transaction.token} has no answer`,
    { executed: 'unknown', cause, details: { token: transaction.token } },
  );

/**
 * Re-sends the same token until the platform's answer is definite.
 *
 * A conflict answered to a repeat is definite: versions only rise, so an
 * earlier copy still under way would fail as well. `platform_unknown` means
 * that the patience ended first; the caller must neither act on the write nor
 * repeat it under another token.
 */
export const commitWithRetry = async (
  options: CommitWithRetryOptions,
): Promise<Either<Failure, CommitResult>> => {
  const { table, transaction, random, signal, log } = options;
  const { shouldRetryUnsent: repeatsRefused = true } = options;
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  const patienceMs = options.retryTimeoutMs ?? defaultRetryTimeoutMs;
  let uncertain = false;

  const judge = (commit: CommitResult): Either<Failure, CommitResult> => {
    if (commit.kind === 'committed' || !uncertain) return Right(commit);
    if (hasWrittenRow(transaction, commit.rows))
      return Right({ kind: 'committed' });
    return elapsedMs() < tokenRetentionMs
      ? Right(commit)
      : Left(createUndecidedFailure(transaction));
  };

  for (let attempt = 0; ; attempt += 1) {
    const answer = await table.commitTransaction(transaction);
    if (answer.isRight()) return judge(answer.extract());
    const failure = answer.extract() as Failure;
    const isRepeated = repeatsRefused && retryableCodes.has(failure.code);
    if (failure.code === 'platform_unknown' && !uncertain) {
      uncertain = true;
      log?.writeEvent('write_unknown', { token: transaction.token });
    }
    if (!uncertain && !isRepeated) return answer;
    const pauseMs = computeRetryDelayMs(attempt, random);
    const spent = elapsedMs() + pauseMs > patienceMs;
    if (spent || !(await sleep(pauseMs, signal))) {
      return Left(
        uncertain ? createUndecidedFailure(transaction, failure) : failure,
      );
    }
  }
};

/** What is known of the transaction when its attempts have ended. */
export const getCommitOutcome = (
  ended: Either<Failure, CommitResult>,
): CommitOutcome =>
  ended.caseOf<CommitOutcome>({
    Left: ({ executed }) => (executed === 'unknown' ? 'unsettled' : 'unsent'),
    Right: ({ kind }) => kind,
  });
