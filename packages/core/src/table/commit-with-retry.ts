/** Brings a transaction to a definite end although answers may be lost. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { ResultName } from '../shared/result-codes.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';

import type { Commit, Row, Table, Transaction } from './table.js';

const defaultPatienceMs = 15_000;
const firstPauseMs = 100;
const longestPauseMs = 2_000;

/** How long the platform applies a token only once; DynamoDB keeps ten minutes. */
const tokenWindowMs = 5 * 60_000;

const repeatable: ReadonlySet<ResultName> = new Set([
  'platform_unavailable',
  'platform_unknown',
  'platform_budget',
]);

export interface SettleOptions {
  readonly table: Table;
  /** Each put must be guarded by a version or an absent row, never deleted. */
  readonly transaction: Transaction;
  readonly random: () => number;
  /** How long to go on re-sending the token; endless with `Infinity`. */
  readonly patienceMs?: number;
  /** Repeats also what the platform certainly did not take; so by default. */
  readonly repeatsRefused?: boolean;
  readonly signal?: AbortSignal;
  readonly log?: Log;
}

/**
 * `unsent` certainly had no effect; `unsettled` may have had one, or may still
 * have one, when patience or signal ended the attempts.
 */
export type SettledKind = Commit['kind'] | 'unsent' | 'unsettled';

const wroteRow = (
  transaction: Transaction,
  rows: readonly (Row | undefined)[],
) =>
  transaction.writes.some(
    (write, i) => write.kind === 'put' && rows[i]?.token === transaction.token,
  );

const pauseAfter = (attempt: number, random: () => number) =>
  jittered(Math.min(longestPauseMs, firstPauseMs * 2 ** attempt), random, 0.5);

const undecided = (transaction: Transaction, cause?: Failure) =>
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
export const settle = async (
  options: SettleOptions,
): Promise<Either<Failure, Commit>> => {
  const { table, transaction, random, signal, log } = options;
  const { repeatsRefused = true } = options;
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  const patienceMs = options.patienceMs ?? defaultPatienceMs;
  let uncertain = false;

  const judge = (commit: Commit): Either<Failure, Commit> => {
    if (commit.kind === 'committed' || !uncertain) return Right(commit);
    if (wroteRow(transaction, commit.rows)) return Right({ kind: 'committed' });
    return elapsedMs() < tokenWindowMs
      ? Right(commit)
      : Left(undecided(transaction));
  };

  for (let attempt = 0; ; attempt += 1) {
    const answer = await table.commit(transaction);
    if (answer.isRight()) return judge(answer.extract());
    const failure = answer.extract() as Failure;
    const isRepeated = repeatsRefused && repeatable.has(failure.code);
    if (failure.code === 'platform_unknown' && !uncertain) {
      uncertain = true;
      log?.event('write_unknown', { token: transaction.token });
    }
    if (!uncertain && !isRepeated) return answer;
    const pauseMs = pauseAfter(attempt, random);
    const spent = elapsedMs() + pauseMs > patienceMs;
    if (spent || !(await sleep(pauseMs, signal))) {
      return Left(uncertain ? undecided(transaction, failure) : failure);
    }
  }
};

/** What is known of the transaction when its attempts have ended. */
export const settledKind = (ended: Either<Failure, Commit>): SettledKind =>
  ended.caseOf<SettledKind>({
    Left: ({ executed }) => (executed === 'unknown' ? 'unsettled' : 'unsent'),
    Right: ({ kind }) => kind,
  });
