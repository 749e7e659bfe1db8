/** Commits transactions that succeed only while a lease is held. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import type { CommitResult, Row, Table, Write } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';
import { isSameVersion } from '../table/row-version.js';

import type { Lease } from './lease.js';

export interface CommitUnderLeaseOptions {
  readonly table: Table;
  readonly lease: Lease;
  readonly writes: readonly Write[];
  readonly random: () => number;
  readonly log?: Log;
  /** Time limit for retries of the commit. */
  readonly retryTimeoutMs?: number;
}

/** Failure for an operation that needs a lease this process does not hold. */
export const createLeaseLostFailure = (name: string): Failure =>
  new Failure('authority_lost', `lease "${name}" is not held by this process`);

/** True when the lease row, which is checked last, has the expected version. */
const isLeaseUnchanged = (rows: readonly (Row | undefined)[], lease: Lease) =>
  isSameVersion(rows.at(-1)?.version, lease.version);

/**
 * Commits the writes together with the fencing check of the lease. Fails with
 * `authority_lost` when the check fails, and then marks the lease as ended.
 */
export const commitUnderLease = async (
  options: CommitUnderLeaseOptions,
): Promise<Either<Failure, CommitResult>> => {
  const { table, lease, writes, random, log, retryTimeoutMs } = options;
  if (!lease.isHeld) return Left(createLeaseLostFailure(lease.name));
  const transaction = {
    token: createRandomToken(random),
    writes: [...writes, lease.createFencingCheck()],
  };
  const commit = await commitWithRetry({
    table,
    transaction,
    random,
    log,
    retryTimeoutMs,
  });
  return commit.chain(result => {
    if (result.kind === 'committed' || isLeaseUnchanged(result.rows, lease)) {
      return Right(result);
    }
    lease.markEnded();
    log?.writeEvent('lease_lost', {
      lease: lease.name,
      fencing: lease.fencingToken,
    });
    return Left(createLeaseLostFailure(lease.name));
  });
};
