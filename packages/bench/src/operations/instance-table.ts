/** One instance's view of the shared table, with faults of that instance. */
import { Failure, Table } from '@medlarlever/core';
import type {
  CommitResult,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
} from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

export class InstanceTable extends Table {
  /** True while the instance is cut off from the platform. */
  isDisconnected = false;
  #resumePromise: Promise<void> = Promise.resolve();
  #resolveResume: () => void = () => undefined;

  constructor(readonly sharedTable: Table) {
    super();
  }

  /** Answers of the table do not reach the instance until it resumes. */
  pauseAnswers(): void {
    this.resumeAnswers();
    this.#resumePromise = new Promise(resolve => {
      this.#resolveResume = resolve;
    });
  }

  resumeAnswers(): void {
    this.#resolveResume();
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    return this.#callTable(() => this.sharedTable.readRows(keys));
  }

  override scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>> {
    return this.#callTable(() =>
      this.sharedTable.scanPartition(partition, options),
    );
  }

  override commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    return this.#callTable(() =>
      this.sharedTable.commitTransaction(transaction),
    );
  }

  async #callTable<T>(
    call: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (this.isDisconnected) {
      await Promise.resolve();
      return Left(new Failure('platform_unavailable', 'cut off'));
    }
    const result = await call();
    await this.#resumePromise;
    return result;
  }
}
