/** An in-memory transactional table with faults that tests switch on. */
import { isDeepStrictEqual } from 'node:util';

import {
  EraTracker,
  Failure,
  isSameVersion,
  sleep,
  Table,
} from '@medlarlever/core';
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

/**
 * Milliseconds for which a transaction token is kept; DynamoDB keeps tokens for
 * 10 minutes.
 */
const tokenRetentionMs = 10 * 60_000;

/** Faults of the table; all off by default. */
export interface TableFaults {
  /** Every call fails without effect. */
  down: boolean;
  /** Latency of every call in milliseconds. */
  slowMs: number;
  /** Number of further commits that take effect but whose answer is lost. */
  loseAnswers: number;
  /**
   * Number of further commits that answer `platform_unknown` and take effect
   * later.
   */
  delayEffects: number;
  /** Milliseconds between the answer and the effect of a delayed commit. */
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
  return isSameVersion(row?.version, condition.version);
};

const createUnavailableResult = () =>
  Left(new Failure('platform_unavailable', 'the table is unavailable'));

const createUnknownResult = () =>
  Left(
    new Failure('platform_unknown', 'the answer of the table was lost', {
      executed: 'unknown',
    }),
  );

/** Returns the value as it is after conversion to JSON and back. */
const toStoredValue = (value: unknown): unknown =>
  value === undefined ? undefined : JSON.parse(JSON.stringify(value));

/** A row without the era, which is that of the whole table. */
type StoredRow = Omit<Row, 'version'> & { readonly versionNumber: number };

interface AppliedTransaction {
  readonly atMs: number;
  readonly writes: readonly Write[];
}

/** A backup from which the table can be restored. */
export interface TableBackup {
  readonly partitions: ReadonlyMap<string, ReadonlyMap<string, StoredRow>>;
  readonly appliedTransactions: ReadonlyMap<string, AppliedTransaction>;
}

/**
 * Rows by partition and sort key, with transactions that are idempotent by
 * token.
 */
export class MemoryTable extends Table {
  override readonly eras = new EraTracker();
  readonly faults: TableFaults = createTableFaults();
  /** Number of calls that reached the table, by kind. */
  readonly callCounts = { read: 0, scan: 0, commit: 0 };
  #partitions = new Map<string, Map<string, StoredRow>>();
  #appliedTransactions = new Map<string, AppliedTransaction>();

  constructor() {
    super();
    this.eras.recordEra(0);
  }

  override async readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    if (!(await this.#isReachable())) return createUnavailableResult();
    this.callCounts.read += 1;
    return Right(keys.map(key => this.#findRow(key)));
  }

  override async scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    if (!(await this.#isReachable())) return createUnavailableResult();
    this.callCounts.scan += 1;
    const { after, prefix = '', limit = Number.MAX_SAFE_INTEGER } = options;
    const rows = this.listRows(partition)
      .filter(row => row.sort.startsWith(prefix))
      .filter(row => after === undefined || row.sort > after)
      .sort((a, b) => (a.sort < b.sort ? -1 : 1));
    return Right(rows.slice(0, limit));
  }

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    if (!(await this.#isReachable())) return createUnavailableResult();
    this.callCounts.commit += 1;
    const copiedTransaction = structuredClone(transaction);
    if (this.faults.delayEffects > 0) {
      this.faults.delayEffects -= 1;
      setTimeout(
        () => void this.applyTransaction(copiedTransaction),
        this.faults.delayMs,
      );
      return createUnknownResult();
    }
    const outcome = this.applyTransaction(copiedTransaction);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      return createUnknownResult();
    }
    return outcome;
  }

  /** Applies a transaction immediately, without any fault. */
  applyTransaction(transaction: Transaction): Either<Failure, CommitResult> {
    const { token, writes } = transaction;
    const appliedTransaction = this.#appliedTransactions.get(token);
    if (
      appliedTransaction !== undefined &&
      Date.now() - appliedTransaction.atMs < tokenRetentionMs
    ) {
      if (isDeepStrictEqual(appliedTransaction.writes, writes)) {
        return Right({ kind: 'committed' });
      }
      return Left(
        new Failure(
          'internal',
          `token "${token}" was already used for another transaction`,
        ),
      );
    }
    const rows = writes.map(write => this.#findRow(write.key));
    if (
      !writes.every((write, index) =>
        isConditionMet(write.condition, rows[index]),
      )
    ) {
      return Right({ kind: 'conflict', rows });
    }
    for (const write of writes) this.#applyWrite(write, token);
    this.#appliedTransactions.set(token, { atMs: Date.now(), writes });
    return Right({ kind: 'committed' });
  }

  /** Returns copies of all rows of the partition, for assertions. */
  listRows(partition: string): readonly Row[] {
    const rows = [...(this.#partitions.get(partition)?.values() ?? [])];
    return rows.map(row => this.#toRow(row));
  }

  /** Copies all rows and remembered transactions. */
  createBackup(): TableBackup {
    return structuredClone({
      partitions: this.#partitions,
      appliedTransactions: this.#appliedTransactions,
    });
  }

  /** Replaces all rows by those of the backup; a new era begins. */
  restoreBackup(backup: TableBackup): void {
    const { partitions, appliedTransactions } = structuredClone(backup);
    this.#partitions = new Map(
      [...partitions].map(([name, rows]) => [name, new Map(rows)]),
    );
    this.#appliedTransactions = new Map(appliedTransactions);
    this.eras.recordEra(this.eras.currentEra + 1);
  }

  async #isReachable(): Promise<boolean> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    return !this.faults.down;
  }

  #findRow({ partition, sort }: RowKey): Row | undefined {
    const stored = this.#partitions.get(partition)?.get(sort);
    return stored && this.#toRow(stored);
  }

  #toRow({ versionNumber, ...row }: StoredRow): Row {
    const version = { era: this.eras.currentEra, number: versionNumber };
    return { ...structuredClone(row), version };
  }

  #applyWrite(write: Write, token: string): void {
    const { partition, sort } = write.key;
    if (write.kind === 'check') return;
    if (write.kind === 'delete') {
      this.#partitions.get(partition)?.delete(sort);
      return;
    }
    const rows =
      this.#partitions.get(partition) ?? new Map<string, StoredRow>();
    this.#partitions.set(partition, rows);
    const versionNumber = (rows.get(sort)?.versionNumber ?? 0) + 1;
    rows.set(sort, {
      partition,
      sort,
      versionNumber,
      token,
      value: toStoredValue(write.value),
    });
  }
}
