/** Reads and writes the rows of engine commands. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import { createUnchangedCondition } from '../table/table.js';
import type { CommitResult, Row, Table, Write } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';
import { createWrittenVersion } from '../table/row-version.js';
import type { RowVersion } from '../table/row-version.js';

import { commitUnderLease } from './commit-under-lease.js';
import type { Lease } from './lease.js';
import {
  getCommandRowKey,
  commandPartition,
  commandRecordSchema,
} from './command-record.js';
import type { CommandRecord } from './command-record.js';

/** The row of a target's latest command, with the version that was read. */
export interface CommandRow {
  /** Absent when the target has no row. */
  readonly version: RowVersion | undefined;
  readonly record: CommandRecord | undefined;
}

/** A row that contains a command. */
export interface StoredCommand {
  readonly version: RowVersion;
  readonly record: CommandRecord;
}

export interface CommandStoreOptions {
  readonly table: Table;
  readonly random: () => number;
  readonly log: Log;
}

const parseCommandRecord = (row: Row) => commandRecordSchema.parse(row.value);

const createWrite = (
  version: RowVersion | undefined,
  record: CommandRecord,
): Write => ({
  kind: 'put',
  key: getCommandRowKey(record.target),
  condition: createUnchangedCondition(version),
  value: record,
});

const toStoredCommand = (
  commit: CommitResult,
  version: RowVersion,
  record: CommandRecord,
): Either<Failure, StoredCommand> =>
  commit.kind === 'committed'
    ? Right({ version, record })
    : Left(
        new Failure(
          'order_conflict',
          `the order of "${record.target}" was changed by another process`,
        ),
      );

/** Stores the latest command of each target in one row. */
export class CommandStore {
  readonly #options: CommandStoreOptions;

  constructor(options: CommandStoreOptions) {
    this.#options = options;
  }

  /** Reads the latest command of a target. */
  async readCommand(target: string): Promise<Either<Failure, CommandRow>> {
    const rows = await this.#options.table.readRows([getCommandRowKey(target)]);
    return rows.map(([row]) =>
      row === undefined
        ? { version: undefined, record: undefined }
        : { version: row.version, record: parseCommandRecord(row) },
    );
  }

  /** Lists the latest command of every target. */
  async listCommands(): Promise<Either<Failure, readonly CommandRecord[]>> {
    const rows = await this.#options.table.scanPartition(commandPartition);
    return rows.map(commandRows => commandRows.map(parseCommandRecord));
  }

  /**
   * Replaces the row if the lease is held and the row is at `version`. Fails
   * with `authority_lost` or `order_conflict` otherwise.
   */
  async writeUnderLease(
    version: RowVersion | undefined,
    record: CommandRecord,
    lease: Lease,
  ): Promise<Either<Failure, StoredCommand>> {
    const writes = [createWrite(version, record)];
    const newVersion = this.#createWrittenVersion(version);
    const commit = await commitUnderLease({ ...this.#options, lease, writes });
    return commit.chain(result => toStoredCommand(result, newVersion, record));
  }

  /**
   * Replaces the row if it is at `version`, without a lease. Use it only to
   * remove senders or to record an operator's release.
   */
  async writeWithoutLease(
    version: RowVersion | undefined,
    record: CommandRecord,
  ): Promise<Either<Failure, StoredCommand>> {
    const newVersion = this.#createWrittenVersion(version);
    const transaction = {
      token: createRandomToken(this.#options.random),
      writes: [createWrite(version, record)],
    };
    const commit = await commitWithRetry({ ...this.#options, transaction });
    return commit.chain(result => toStoredCommand(result, newVersion, record));
  }

  #createWrittenVersion(version: RowVersion | undefined): RowVersion {
    return createWrittenVersion(version, this.#options.table.eras.currentEra);
  }
}
