/** Sends one command to its engine and polls it until it ends. */
import { Left } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';
import type { Engine, EngineCommandStatus } from '../target/target.js';

import { createLeaseLostFailure } from './commit-under-lease.js';
import type { Lease } from './lease.js';
import type { StoredCommand } from './command-store.js';

export interface CommandRunOptions {
  readonly lease: Lease;
  readonly storedCommand: StoredCommand;
  /** Earlier command that must end before this one is sent. */
  readonly previousCommandId?: string;
  /** Returns the newest incarnation of the engine. */
  readonly findEngine: () => Maybe<Engine>;
  /** Returns whether the command's row is as this process wrote it. */
  readonly isRowUnchanged: () => Promise<boolean>;
  readonly random: () => number;
  readonly log: Log;
  /** Interval between two status requests to the engine. */
  readonly pollIntervalMs: number;
  /** Time limit for the whole run. */
  readonly timeoutMs: number;
}

/** Result of a run: the last status or failure. */
export interface CommandRunResult {
  readonly status: Either<Failure, EngineCommandStatus>;
  /** True if a sent copy of the command may still reach the engine. */
  readonly isUnanswered: boolean;
}

const isFinalStatus = (status: EngineCommandStatus) =>
  status.state !== 'running';

/**
 * Runs one command. Requests the status of the command id before each send:
 * after a lost response the command may already run, and after a crash the new
 * incarnation of the engine does not know it.
 */
export class CommandRun {
  readonly #options: CommandRunOptions;
  #isUnanswered = false;
  #sendCount = 0;

  constructor(options: CommandRunOptions) {
    this.#options = options;
  }

  /**
   * Returns when the command has ended, the lease is lost or the time limit is
   * reached. Other failures are retried.
   */
  async runToEnd(): Promise<CommandRunResult> {
    const { lease, random, pollIntervalMs, timeoutMs } = this.#options;
    const deadlineMs = performance.now() + timeoutMs;
    for (;;) {
      if (!lease.isHeld)
        return this.#createResult(Left(createLeaseLostFailure(lease.name)));
      const status = await this.#pollOrSend();
      if (isDecidedStatus(status)) return this.#createResult(status);
      if (performance.now() > deadlineMs) {
        const message = 'the order did not end within the time limit';
        return this.#createResult(Left(new Failure('target_failed', message)));
      }
      await sleep(addJitter(pollIntervalMs, random));
    }
  }

  #createResult(
    status: Either<Failure, EngineCommandStatus>,
  ): CommandRunResult {
    return { status, isUnanswered: this.#isUnanswered };
  }

  async #pollOrSend(): Promise<Either<Failure, EngineCommandStatus>> {
    const { storedCommand, findEngine } = this.#options;
    const engine = findEngine().extract();
    if (engine === undefined) {
      return Left(
        new Failure('unknown_target', 'the engine of the order is not listed'),
      );
    }
    const previousStatus = await this.#getPreviousStatus(engine);
    if (previousStatus !== undefined) return previousStatus;
    const status = await engine.getCommandStatus(storedCommand.record.order.id);
    if (status.isRight()) this.#isUnanswered = false;
    if (!isNotFound(status)) return status;
    return this.#sendCommand(engine);
  }

  /** Status of the previous command unless it is known to have ended. */
  async #getPreviousStatus(
    engine: Engine,
  ): Promise<Either<Failure, EngineCommandStatus> | undefined> {
    const { previousCommandId } = this.#options;
    if (previousCommandId === undefined || this.#sendCount > 0)
      return undefined;
    const status = await engine.getCommandStatus(previousCommandId);
    const hasEnded = status.map(isFinalStatus).orDefault(isNotFound(status));
    return hasEnded ? undefined : status;
  }

  async #sendCommand(
    engine: Engine,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    const { lease, storedCommand, isRowUnchanged, log } = this.#options;
    const { order } = storedCommand.record;
    if (this.#sendCount > 0 && !(await isRowUnchanged())) lease.markEnded();
    if (!lease.isHeld) return Left(createLeaseLostFailure(lease.name));
    this.#sendCount += 1;
    log.writeEvent('order_sent', {
      target: engine.name,
      order: order.id,
      fencing: order.fencing,
    });
    this.#isUnanswered = true;
    const status = await engine.sendCommand(order);
    this.#isUnanswered = isUncertainFailure(status);
    return status;
  }
}

const isNotFound = (status: Either<Failure, EngineCommandStatus>) =>
  status.isLeft() && status.extract().code === 'not_found';

const isUncertainFailure = (status: Either<Failure, EngineCommandStatus>) =>
  status.isLeft() && status.extract().executed === 'unknown';

/** True for a final status and for a lost lease; other failures are retried. */
const isDecidedStatus = (status: Either<Failure, EngineCommandStatus>) =>
  status.caseOf({
    Left: failure => failure.code === 'authority_lost',
    Right: isFinalStatus,
  });
