/** The shared table as one instance uses it, with faults that affect only this instance. */
import { EraTracker, Failure, Table } from '@medlarlever/core';
import type {
  CommitResult,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
} from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Passes calls to the shared table unless the instance is disconnected; can hold back the answers. */
export class InstanceTable extends Table {
  override readonly eras = new EraTracker();
  /** Whether the instance is cut off from the table; its calls then fail with `platform_unavailable`. */
  isDisconnected = false;
  #resumePromise: Promise<void> = Promise.resolve();
  #resolveResume: () => void = () => undefined;

  constructor(readonly sharedTable: Table) {
    super();
  }

  /** Holds back the answers of all calls until `resumeAnswers`; the calls themselves are executed. */
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
      return Left(
        new Failure(
          'platform_unavailable',
          'the instance is disconnected from the table',
        ),
      );
    }
    const result = await call();
    const { currentEra } = this.sharedTable.eras;
    await this.#resumePromise;
    this.eras.recordEra(currentEra);
    return result;
  }
}
