/**
 * Executes the commands of a simulated engine: load a model, unload a model,
 * change the role.
 */
import { Failure, sleep } from '@medlarlever/core';
import type {
  EngineCommand,
  EngineCommandAction,
  EngineCommandStatus,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/**
 * Executes a command; resolves to false when the engine crashes during the
 * execution.
 */
export type CommandHandler = (action: EngineCommandAction) => Promise<boolean>;

/**
 * Accepts commands (`orders` on the wire), checks their fencing tokens and
 * keeps their statuses.
 */
export class CommandExecutor {
  /** Commands that were accepted, by time of arrival. */
  readonly acceptedCommands: EngineCommand[] = [];
  /** Number of commands that were accepted while another command was running. */
  conflictCount = 0;
  readonly #statuses = new Map<string, EngineCommandStatus>();
  #runningCount = 0;
  #highestFencing = 0;

  constructor(
    readonly checksFencing: boolean,
    private readonly handleCommand: CommandHandler,
  ) {}

  /** Whether a command is running. */
  get isBusy(): boolean {
    return this.#runningCount > 0;
  }

  /**
   * Starts a command; a command whose id is known is not executed again. With
   * fencing checks on, commands with an old fencing token and commands during
   * another command fail with `order_conflict`.
   */
  submitCommand(command: EngineCommand): Either<Failure, EngineCommandStatus> {
    const knownStatus = this.#statuses.get(command.id);
    if (knownStatus !== undefined) return Right(knownStatus);
    if (this.checksFencing) {
      const refusal = this.#checkCommand(command);
      if (refusal !== undefined) return Left(refusal);
    }
    if (this.isBusy) this.conflictCount += 1;
    this.#highestFencing = Math.max(this.#highestFencing, command.fencing);
    this.acceptedCommands.push(command);
    const status: EngineCommandStatus = { id: command.id, state: 'running' };
    this.#statuses.set(command.id, status);
    void this.#executeCommand(command);
    return Right(status);
  }

  /** Returns the status of a command, or `not_found`. */
  getStatus(id: string): Either<Failure, EngineCommandStatus> {
    const knownStatus = this.#statuses.get(id);
    if (knownStatus !== undefined) return Right(knownStatus);
    return Left(new Failure('not_found', `order "${id}" does not exist`));
  }

  #checkCommand(command: EngineCommand): Failure | undefined {
    if (command.fencing < this.#highestFencing) {
      return new Failure(
        'order_conflict',
        `fencing token ${command.fencing} is lower than ${this.#highestFencing}`,
      );
    }
    if (!this.isBusy) return undefined;
    return new Failure('order_conflict', 'another order is still running');
  }

  async #executeCommand({ id, action }: EngineCommand): Promise<void> {
    this.#runningCount += 1;
    try {
      const isDone = await this.handleCommand(action);
      if (isDone) this.#statuses.set(id, { id, state: 'done' });
    } catch (error) {
      const reason = String(error);
      this.#statuses.set(id, { id, state: 'failed', reason });
    } finally {
      this.#runningCount -= 1;
    }
  }
}

/**
 * Waits for `ms` milliseconds, but only for half of them when the engine has
 * crashed by then. Resolves to whether the engine is still running.
 */
export const sleepUnlessCrashed = async (
  ms: number,
  hasCrashed: () => boolean,
): Promise<boolean> => {
  await sleep(ms / 2);
  if (hasCrashed()) return false;
  await sleep(ms / 2);
  return !hasCrashed();
};
