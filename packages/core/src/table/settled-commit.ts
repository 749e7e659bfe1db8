/** Commits a transaction until its outcome is known. */
import { jittered, sleep } from '../shared/time.js';

import type { Row, Table, Transaction } from './table.js';

/**
 * `unsent` certainly had no effect; `unsettled` may have had one, or may still
 * have one, when the signal ended the attempts.
 */
export type SettledCommit =
  | { readonly kind: 'committed' }
  | { readonly kind: 'conflict'; readonly rows: readonly (Row | undefined)[] }
  | { readonly kind: 'unsent' }
  | { readonly kind: 'unsettled' };

export interface SettledCommitOptions {
  readonly random: () => number;
  /** Ends the attempts. */
  readonly signal: AbortSignal;
  /** Repeats also a commit that the table certainly did not take. */
  readonly persistent?: boolean;
  readonly onUnknown?: () => void;
}

const firstPauseMs = 50;
const maxPauseMs = 2_000;

/** True when some row was written by this transaction. */
const carriesToken = (
  rows: readonly (Row | undefined)[],
  token: string,
): boolean => rows.some(row => row?.token === token);

/**
 * Repeats the same transaction with the same token, which the table applies
 * once, until it answers. A conflict with rows that carry the token is the
 * effect of an earlier attempt.
 */
export const settleCommit = async (
  table: Table,
  transaction: Transaction,
  options: SettledCommitOptions,
): Promise<SettledCommit> => {
  const { random, signal, persistent = false } = options;
  let unknown = false;
  let pauseMs = firstPauseMs;
  for (;;) {
    const result = await table.commit(transaction);
    const outcome = result.extract();
    if ('kind' in outcome) {
      if (outcome.kind === 'committed') return outcome;
      if (!carriesToken(outcome.rows, transaction.token)) return outcome;
      return { kind: 'committed' };
    }
    if (outcome.code === 'platform_unknown') {
      if (!unknown) options.onUnknown?.();
      unknown = true;
    }
    if (!unknown && !persistent) return { kind: 'unsent' };
    const slept = await sleep(jittered(pauseMs, random), signal);
    if (!slept) return { kind: unknown ? 'unsettled' : 'unsent' };
    pauseMs = Math.min(maxPauseMs, pauseMs * 2);
  }
};
