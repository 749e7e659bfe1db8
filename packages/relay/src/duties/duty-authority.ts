/** Proof that this instance may act as the holder of the lease. */
import { Failure, commitUnderLease } from '@medlarlever/core';
import type { Lease, Log, Table, Write } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { DutyHolder } from './duty-client.js';

/**
 * Maximum age of a confirmation when a call is sent. With an older confirmation,
 * another instance may hold the lease in the meantime.
 */
const confirmationTimeoutMs = 400;

/** Dependencies of {@link DutyAuthority}. */
export interface DutyAuthorityOptions {
  readonly table: Table;
  readonly lease: Lease;
  /** Name of this instance. */
  readonly self: string;
  /** Aborts when the lease ends or the process stops. */
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random: () => number;
}

/** The authority of one term of the lease's holder. */
export class DutyAuthority {
  readonly #options: DutyAuthorityOptions;

  constructor(options: DutyAuthorityOptions) {
    this.#options = options;
  }

  get fencingToken(): number {
    return this.#options.lease.fencingToken;
  }

  /** True while the lease has not ended by the monotonic clock; permits no call. */
  get isHeld(): boolean {
    return this.#options.lease.isHeld;
  }

  /** Aborts when the term ends. */
  get signal(): AbortSignal {
    return this.#options.signal;
  }

  /**
   * Commits the writes under the lease. Returns the holder to name in a call if
   * the commit took less than `confirmationTimeoutMs` on both the monotonic clock
   * and the wall clock, so that a process that was suspended in between sends
   * nothing. The call must be started in the same turn of the event loop.
   *
   * Fails with `revision_conflict` if a condition of the writes did not hold, and
   * with `authority_lost` if the lease may have ended. The writes may have taken
   * effect after any other failure than `revision_conflict`.
   */
  async confirm(
    writes: readonly Write[],
  ): Promise<Either<Failure, DutyHolder>> {
    const { table, lease, random, log, self } = this.#options;
    const startedMonotonicMs = performance.now();
    const startedWallClockMs = Date.now();
    const commit = await commitUnderLease({
      table,
      lease,
      writes,
      random,
      log,
      retryTimeoutMs: confirmationTimeoutMs,
    });
    const isRecent =
      performance.now() - startedMonotonicMs < confirmationTimeoutMs &&
      Math.abs(Date.now() - startedWallClockMs) < confirmationTimeoutMs;
    return commit.chain(({ kind }) => {
      if (kind === 'conflict') return Left(createConflictFailure());
      if (!isRecent || !lease.isHeld || this.signal.aborted)
        return Left(createUnconfirmedFailure(lease.name));
      return Right({ name: self, fencingToken: lease.fencingToken });
    });
  }
}

const createConflictFailure = (): Failure =>
  new Failure('revision_conflict', 'a row changed since it was read');

const createUnconfirmedFailure = (lease: string): Failure =>
  new Failure(
    'authority_lost',
    `lease "${lease}" was not confirmed within ${confirmationTimeoutMs} ms`,
  );
