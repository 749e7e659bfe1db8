/** Writes that take effect only while the lease is still this holder's. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { settle } from '../table/commit-with-retry.js';
import type { Commit, Row, Table, Write } from '../table/table.js';
import { randomToken } from '../table/random-token.js';

import type { Lease } from './lease.js';

export interface GuardedCommitOptions {
  readonly table: Table;
  readonly lease: Lease;
  readonly writes: readonly Write[];
  readonly random: () => number;
  readonly log?: Log;
  readonly patienceMs?: number;
}

export const authorityLost = (name: string): Failure =>
  new Failure('authority_lost', `lease "${name}" is not held`);

const guardHolds = (rows: readonly (Row | undefined)[], lease: Lease) =>
  rows.at(-1)?.version === lease.version;

/** Commits with the lease's check; `authority_lost` when that fails. */
export const guardedCommit = async (
  options: GuardedCommitOptions,
): Promise<Either<Failure, Commit>> => {
  const { table, lease, writes, random, log, patienceMs } = options;
  if (!lease.held) return Left(authorityLost(lease.name));
  const transaction = {
    token: randomToken(random),
    writes: [...writes, lease.guard()],
  };
  const commit = await settle({ table, transaction, random, log, patienceMs });
  return commit.chain(result => {
    if (result.kind === 'committed' || guardHolds(result.rows, lease)) {
      return Right(result);
    }
    lease.end();
    log?.event('lease_lost', { lease: lease.name, fencing: lease.fencing });
    return Left(authorityLost(lease.name));
  });
};
