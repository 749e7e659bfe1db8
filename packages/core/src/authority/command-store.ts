/** Reads and writes the rows of orders. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { settle } from '../table/commit-with-retry.js';
import type { Commit, Row, Table, Write } from '../table/table.js';
import { randomToken } from '../table/random-token.js';

import { guardedCommit } from './commit-under-lease.js';
import type { Lease } from './lease.js';
import {
  orderKey,
  orderPartition,
  orderRecordSchema,
} from './command-record.js';
import type { OrderRecord } from './command-record.js';

/** The row of a target's latest order, with the version it was read at. */
export interface OrderRow {
  /** 0 when the target never had an order. */
  readonly version: number;
  readonly record: OrderRecord | undefined;
}

/** A row that certainly holds an order. */
export interface PlacedOrder {
  readonly version: number;
  readonly record: OrderRecord;
}

export interface OrderRowsOptions {
  readonly table: Table;
  readonly random: () => number;
  readonly log: Log;
}

const parse = (row: Row) => orderRecordSchema.parse(row.value);

const writeOf = (version: number, record: OrderRecord): Write => ({
  kind: 'put',
  key: orderKey(record.target),
  condition: version === 0 ? { kind: 'absent' } : { kind: 'version', version },
  value: record,
});

const placed = (
  commit: Commit,
  version: number,
  record: OrderRecord,
): Either<Failure, PlacedOrder> =>
  commit.kind === 'committed'
    ? Right({ version: version + 1, record })
    : Left(
        new Failure(
          'order_conflict',
          `the order of "${record.target}" was changed by another process`,
        ),
      );

export class OrderRows {
  readonly #options: OrderRowsOptions;

  constructor(options: OrderRowsOptions) {
    this.#options = options;
  }

  async read(target: string): Promise<Either<Failure, OrderRow>> {
    const rows = await this.#options.table.read([orderKey(target)]);
    return rows.map(([row]) =>
      row === undefined
        ? { version: 0, record: undefined }
        : { version: row.version, record: parse(row) },
    );
  }

  async list(): Promise<Either<Failure, readonly OrderRecord[]>> {
    const rows = await this.#options.table.scan(orderPartition);
    return rows.map(found => found.map(parse));
  }

  /** Writes while the lease is held and the row is at `version`. */
  async write(
    version: number,
    record: OrderRecord,
    lease: Lease,
  ): Promise<Either<Failure, PlacedOrder>> {
    const writes = [writeOf(version, record)];
    const commit = await guardedCommit({ ...this.#options, lease, writes });
    return commit.chain(result => placed(result, version, record));
  }

  /** Writes without a lease; only to take senders away. */
  async writeUnguarded(
    version: number,
    record: OrderRecord,
  ): Promise<Either<Failure, PlacedOrder>> {
    const transaction = {
      token: randomToken(this.#options.random),
      writes: [writeOf(version, record)],
    };
    const commit = await settle({ ...this.#options, transaction });
    return commit.chain(result => placed(result, version, record));
  }
}
