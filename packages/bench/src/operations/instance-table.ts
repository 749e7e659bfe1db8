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
  cutOff = false;
  #paused: Promise<void> = Promise.resolve();
  #resume: () => void = () => undefined;

  constructor(readonly shared: Table) {
    super();
  }

  /** Answers of the table do not reach the instance until it resumes. */
  pause(): void {
    this.resume();
    this.#paused = new Promise(resolve => {
      this.#resume = resolve;
    });
  }

  resume(): void {
    this.#resume();
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    return this.#call(() => this.shared.readRows(keys));
  }

  override scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>> {
    return this.#call(() => this.shared.scanPartition(partition, options));
  }

  override commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    return this.#call(() => this.shared.commitTransaction(transaction));
  }

  async #call<T>(
    call: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (this.cutOff) {
      await Promise.resolve();
      return Left(new Failure('platform_unavailable', 'cut off'));
    }
    const result = await call();
    await this.#paused;
    return result;
  }
}
