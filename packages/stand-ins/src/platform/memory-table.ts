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
const tokenRetentionMs = 10 * 60_000;

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

const createTableFaults = (): TableFaults => ({
  down: false,
  slowMs: 0,
  loseAnswers: 0,
  delayEffects: 0,
  delayMs: 1_000,
});

const isConditionMet = (
  condition: Condition,
  row: Row | undefined,
): boolean => {
  if (condition.kind === 'any') return true;
  if (condition.kind === 'absent') return row === undefined;
  return row?.version === condition.version;
};

const createUnavailableResult = () =>
  Left(new Failure('platform_unavailable', 'the table is down'));

const createUnknownResult = () =>
  Left(
    new Failure('platform_unknown', 'the answer of the table was lost', {
      executed: 'unknown',
    }),
  );

/** Copies a value as storing it as JSON would. */
const toStoredValue = (value: unknown): unknown =>
  value === undefined ? undefined : JSON.parse(JSON.stringify(value));

export class MemoryTable extends Table {
  readonly faults: TableFaults = createTableFaults();
  /** Calls that reached the table, by kind. */
  readonly callCounts = { read: 0, scan: 0, commit: 0 };
  readonly #partitions = new Map<string, Map<string, Row>>();
  readonly #appliedTransactions = new Map<
    string,
    { readonly atMs: number; readonly writes: readonly Write[] }
  >();

  override async readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    if (!(await this.#isReachable())) return createUnavailableResult();
    this.callCounts.read += 1;
    return Right(keys.map(key => this.#copyRow(key)));
  }

  override async scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    if (!(await this.#isReachable())) return createUnavailableResult();
    this.callCounts.scan += 1;
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
    if (!(await this.#isReachable())) return createUnavailableResult();
    this.callCounts.commit += 1;
    const sent = structuredClone(transaction);
    if (this.faults.delayEffects > 0) {
      this.faults.delayEffects -= 1;
      setTimeout(() => void this.applyTransaction(sent), this.faults.delayMs);
      return createUnknownResult();
    }
    const outcome = this.applyTransaction(sent);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      return createUnknownResult();
    }
    return outcome;
  }

  /** Applies a transaction at once, whatever the faults. */
  applyTransaction(transaction: Transaction): Either<Failure, CommitResult> {
    const { token, writes } = transaction;
    const earlier = this.#appliedTransactions.get(token);
    if (earlier !== undefined && Date.now() - earlier.atMs < tokenRetentionMs) {
      if (isDeepStrictEqual(earlier.writes, writes)) {
        return Right({ kind: 'committed' });
      }
      return Left(
        new Failure('internal', `token "${token}" names another transaction`),
      );
    }
    const rows = writes.map(write => this.#findRow(write.key));
    if (
      !writes.every((write, index) =>
        isConditionMet(write.condition, rows[index]),
      )
    ) {
      return Right({ kind: 'conflict', rows: structuredClone(rows) });
    }
    for (const write of writes) this.#applyWrite(write, token);
    this.#appliedTransactions.set(token, { atMs: Date.now(), writes });
    return Right({ kind: 'committed' });
  }

  /** Every row, for assertions. */
  listRows(partition: string): readonly Row[] {
    return structuredClone([
      ...(this.#partitions.get(partition)?.values() ?? []),
    ]);
  }

  async #isReachable(): Promise<boolean> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    return !this.faults.down;
  }

  #findRow({ partition, sort }: RowKey): Row | undefined {
    return this.#partitions.get(partition)?.get(sort);
  }

  #copyRow(key: RowKey): Row | undefined {
    return structuredClone(this.#findRow(key));
  }

  #applyWrite(write: Write, token: string): void {
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
      value: toStoredValue(write.value),
    });
  }
}
