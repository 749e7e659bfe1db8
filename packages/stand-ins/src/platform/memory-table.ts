/** The transactional table in memory, with faults that tests switch on. */
import { isDeepStrictEqual } from 'node:util';

import { Failure, sleep, Table } from '@medlarlever/core';
import type {
  CommitResult,
  Condition,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
  Write,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** A token is remembered this long, as DynamoDB does. */
const tokenMemoryMs = 10 * 60_000;

/** Faults of the table; all off by default. */
export interface TableFaults {
  /** Every call fails without effect. */
  down: boolean;
  /** Latency of every call. */
  slowMs: number;
  /** Commits to come whose answer is lost after the effect. */
  loseAnswers: number;
  /** Commits to come that answer `platform_unknown` before their effect. */
  delayEffects: number;
  /** How late the effect of a delayed commit comes. */
  delayMs: number;
}

const noFaults = (): TableFaults => ({
  down: false,
  slowMs: 0,
  loseAnswers: 0,
  delayEffects: 0,
  delayMs: 1_000,
});

const holds = (condition: Condition, row: Row | undefined): boolean => {
  if (condition.kind === 'any') return true;
  if (condition.kind === 'absent') return row === undefined;
  return row?.version === condition.version;
};

const unavailable = () =>
  Left(new Failure('platform_unavailable', 'the table is down'));

const unknown = () =>
  Left(
    new Failure('platform_unknown', 'the answer of the table was lost', {
      executed: 'unknown',
    }),
  );

/** Copies a value as storing it as JSON would. */
const stored = (value: unknown): unknown =>
  value === undefined ? undefined : JSON.parse(JSON.stringify(value));

export class MemoryTable extends Table {
  readonly faults: TableFaults = noFaults();
  /** Calls that reached the table, by kind. */
  readonly calls = { read: 0, scan: 0, commit: 0 };
  readonly #partitions = new Map<string, Map<string, Row>>();
  readonly #tokens = new Map<
    string,
    { readonly atMs: number; readonly writes: readonly Write[] }
  >();

  override async readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    if (!(await this.#reached())) return unavailable();
    this.calls.read += 1;
    return Right(keys.map(key => this.#copy(key)));
  }

  override async scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    if (!(await this.#reached())) return unavailable();
    this.calls.scan += 1;
    const { after, prefix = '', limit = Number.MAX_SAFE_INTEGER } = options;
    const rows = [...(this.#partitions.get(partition)?.values() ?? [])]
      .filter(row => row.sort.startsWith(prefix))
      .filter(row => after === undefined || row.sort > after)
      .sort((a, b) => (a.sort < b.sort ? -1 : 1));
    return Right(structuredClone(rows.slice(0, limit)));
  }

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    if (!(await this.#reached())) return unavailable();
    this.calls.commit += 1;
    const sent = structuredClone(transaction);
    if (this.faults.delayEffects > 0) {
      this.faults.delayEffects -= 1;
      setTimeout(() => void this.apply(sent), this.faults.delayMs);
      return unknown();
    }
    const outcome = this.apply(sent);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      return unknown();
    }
    return outcome;
  }

  /** Applies a transaction at once, whatever the faults. */
  apply(transaction: Transaction): Either<Failure, CommitResult> {
    const { token, writes } = transaction;
    const earlier = this.#tokens.get(token);
    if (earlier !== undefined && Date.now() - earlier.atMs < tokenMemoryMs) {
      if (isDeepStrictEqual(earlier.writes, writes)) {
        return Right({ kind: 'committed' });
      }
      return Left(
        new Failure('internal', `token "${token}" names another transaction`),
      );
    }
    const rows = writes.map(write => this.#row(write.key));
    if (!writes.every((write, index) => holds(write.condition, rows[index]))) {
      return Right({ kind: 'conflict', rows: structuredClone(rows) });
    }
    for (const write of writes) this.#write(write, token);
    this.#tokens.set(token, { atMs: Date.now(), writes });
    return Right({ kind: 'committed' });
  }

  /** Every row, for assertions. */
  rows(partition: string): readonly Row[] {
    return structuredClone([
      ...(this.#partitions.get(partition)?.values() ?? []),
    ]);
  }

  async #reached(): Promise<boolean> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    return !this.faults.down;
  }

  #row({ partition, sort }: RowKey): Row | undefined {
    return this.#partitions.get(partition)?.get(sort);
  }

  #copy(key: RowKey): Row | undefined {
    return structuredClone(this.#row(key));
  }

  #write(write: Write, token: string): void {
    const { partition, sort } = write.key;
    if (write.kind === 'check') return;
    if (write.kind === 'delete') {
      this.#partitions.get(partition)?.delete(sort);
      return;
    }
    const rows = this.#partitions.get(partition) ?? new Map<string, Row>();
    this.#partitions.set(partition, rows);
    const version = (rows.get(sort)?.version ?? 0) + 1;
    rows.set(sort, {
      partition,
      sort,
      version,
      token,
      value: stored(write.value),
    });
  }
}
