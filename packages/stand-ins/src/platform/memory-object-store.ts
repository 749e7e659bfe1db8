/** An in-memory object store with faults that tests switch on. */
import { Failure, ObjectStore, sleep } from '@medlarlever/core';
import { Left, Maybe, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Faults of the object store; all off by default. */
export interface ObjectStoreFaults {
  /** Every call fails without effect. */
  down: boolean;
  /** Latency of every call in milliseconds. */
  slowMs: number;
  /** Number of further puts that take effect but whose answer is lost. */
  loseAnswers: number;
}

/** Objects by name. */
export class MemoryObjectStore extends ObjectStore {
  readonly faults: ObjectStoreFaults = {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
  };
  readonly objects = new Map<string, Uint8Array>();

  override async getObject(
    name: string,
  ): Promise<Either<Failure, Maybe<Uint8Array>>> {
    if (!(await this.#isReachable())) return this.#createUnavailableResult();
    return Right(Maybe.fromNullable(this.objects.get(name)?.slice()));
  }

  override async putObject(
    name: string,
    body: Uint8Array,
  ): Promise<Either<Failure, void>> {
    if (!(await this.#isReachable())) return this.#createUnavailableResult();
    this.objects.set(name, body.slice());
    if (this.faults.loseAnswers === 0) return Right(undefined);
    this.faults.loseAnswers -= 1;
    return Left(
      new Failure(
        'platform_unknown',
        'the answer of the object store was lost',
        {
          executed: 'unknown',
        },
      ),
    );
  }

  async #isReachable(): Promise<boolean> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    return !this.faults.down;
  }

  #createUnavailableResult() {
    return Left(
      new Failure('platform_unavailable', 'the object store is unavailable'),
    );
  }
}
