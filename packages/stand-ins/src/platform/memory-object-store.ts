/** The object store in memory. */
import { Failure, ObjectStore, sleep } from '@medlarlever/core';
import { Left, Maybe, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Faults of the object store; all off by default. */
export interface ObjectStoreFaults {
  down: boolean;
  slowMs: number;
  /** Puts to come whose answer is lost after the effect. */
  loseAnswers: number;
}

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
      new Failure('platform_unknown', 'the answer of the store was lost', {
        executed: 'unknown',
      }),
    );
  }

  async #isReachable(): Promise<boolean> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    return !this.faults.down;
  }

  #createUnavailableResult() {
    return Left(new Failure('platform_unavailable', 'the store is down'));
  }
}
