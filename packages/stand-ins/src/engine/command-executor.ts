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
export type CommandHandler = (action: EngineCommandAction) => Promise<boolean>;

export class CommandExecutor {
  /** Orders that took effect, in order of arrival. */
  readonly acceptedCommands: EngineCommand[] = [];
  /** Orders that began while a different one was unfinished. */
  conflictCount = 0;
  readonly #statuses = new Map<string, EngineCommandStatus>();
  #runningCount = 0;
  #highestFencing = 0;

  constructor(
    readonly checksFencing: boolean,
    private readonly handleCommand: CommandHandler,
  ) {}

  get isBusy(): boolean {
    return this.#runningCount > 0;
  }

  submitCommand(order: EngineCommand): Either<Failure, EngineCommandStatus> {
    const known = this.#statuses.get(order.id);
    if (known !== undefined) return Right(known);
    if (this.checksFencing) {
      const refusal = this.#checkCommand(order);
      if (refusal !== undefined) return Left(refusal);
    }
    if (this.isBusy) this.conflictCount += 1;
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
    this.acceptedCommands.push(order);
    const status: EngineCommandStatus = { id: order.id, state: 'running' };
    this.#statuses.set(order.id, status);
    void this.#executeCommand(order);
    return Right(status);
  }

  getStatus(id: string): Either<Failure, EngineCommandStatus> {
    const known = this.#statuses.get(id);
    if (known !== undefined) return Right(known);
    return Left(new Failure('not_found', `no order "${id}"`));
  }

  #checkCommand(order: EngineCommand): Failure | undefined {
    if (order.fencing < this.#highestFencing) {
      return new Failure(
        'order_conflict',
        `fencing number ${order.fencing} is older than ${this.#highestFencing}`,
      );
    }
    if (!this.isBusy) return undefined;
    return new Failure('order_conflict', 'another order is unfinished');
  }

  async #executeCommand({ id, action }: EngineCommand): Promise<void> {
    this.#runningCount += 1;
    try {
      const done = await this.handleCommand(action);
      if (done) this.#statuses.set(id, { id, state: 'done' });
    } catch (error) {
      const reason = String(error);
      this.#statuses.set(id, { id, state: 'failed', reason });
    } finally {
      this.#runningCount -= 1;
    }
  }
}

/** Waits for half and then the other half, unless a crash comes between. */
export const sleepUnlessCrashed = async (
  ms: number,
  crashed: () => boolean,
): Promise<boolean> => {
  await sleep(ms / 2);
  if (crashed()) return false;
  await sleep(ms / 2);
  return !crashed();
};
