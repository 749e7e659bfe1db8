/** Orders of a simulated engine: load and unload models, change role. */
import { Failure, sleep } from '@medlarlever/core';
import type {
  EngineCommand,
  EngineCommandAction,
  EngineCommandStatus,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Carries an order out; false when the engine crashed on the way. */
export type OrderRun = (action: EngineCommandAction) => Promise<boolean>;

export class OrderBook {
  /** Orders that took effect, in order of arrival. */
  readonly accepted: EngineCommand[] = [];
  /** Orders that began while a different one was unfinished. */
  conflicts = 0;
  readonly #statuses = new Map<string, EngineCommandStatus>();
  #running = 0;
  #fencing = 0;

  constructor(
    readonly checksFencing: boolean,
    private readonly run: OrderRun,
  ) {}

  get busy(): boolean {
    return this.#running > 0;
  }

  submit(order: EngineCommand): Either<Failure, EngineCommandStatus> {
    const known = this.#statuses.get(order.id);
    if (known !== undefined) return Right(known);
    if (this.checksFencing) {
      const refusal = this.#check(order);
      if (refusal !== undefined) return Left(refusal);
    }
    if (this.busy) this.conflicts += 1;
    this.#fencing = Math.max(this.#fencing, order.fencing);
    this.accepted.push(order);
    const status: EngineCommandStatus = { id: order.id, state: 'running' };
    this.#statuses.set(order.id, status);
    void this.#carryOut(order);
    return Right(status);
  }

  status(id: string): Either<Failure, EngineCommandStatus> {
    const known = this.#statuses.get(id);
    if (known !== undefined) return Right(known);
    return Left(new Failure('not_found', `no order "${id}"`));
  }

  #check(order: EngineCommand): Failure | undefined {
    if (order.fencing < this.#fencing) {
      return new Failure(
        'order_conflict',
        `fencing number ${order.fencing} is older than ${this.#fencing}`,
      );
    }
    if (!this.busy) return undefined;
    return new Failure('order_conflict', 'another order is unfinished');
  }

  async #carryOut({ id, action }: EngineCommand): Promise<void> {
    this.#running += 1;
    try {
      const done = await this.run(action);
      if (done) this.#statuses.set(id, { id, state: 'done' });
    } catch (error) {
      const reason = String(error);
      this.#statuses.set(id, { id, state: 'failed', reason });
    } finally {
      this.#running -= 1;
    }
  }
}

/** Waits for half and then the other half, unless a crash comes between. */
export const inHalves = async (
  ms: number,
  crashed: () => boolean,
): Promise<boolean> => {
  await sleep(ms / 2);
  if (crashed()) return false;
  await sleep(ms / 2);
  return !crashed();
};
