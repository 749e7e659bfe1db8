/** Gives one order to its engine and follows it to its end. */
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
  /** Earlier order that the engine must not be running any more. */
  readonly previousCommandId?: string;
  /** The engine in its newest incarnation. */
  readonly findEngine: () => Maybe<Engine>;
  /** Whether the row is still as this process wrote it. */
  readonly isRowUnchanged: () => Promise<boolean>;
  readonly random: () => number;
  readonly log: Log;
  readonly pollIntervalMs: number;
  readonly timeoutMs: number;
}

export interface CommandRunResult {
  readonly status: Either<Failure, EngineCommandStatus>;
  /** True while a copy of the order may still be on its way. */
  readonly isUnanswered: boolean;
}

const isFinalStatus = (status: EngineCommandStatus) =>
  status.state !== 'running';

/**
 * The engine is asked about the id before each send: after a lost answer the
 * order may run already, and after a crash a new incarnation has not seen it.
 */
export class CommandRun {
  readonly #options: CommandRunOptions;
  #isUnanswered = false;
  #sendCount = 0;

  constructor(options: CommandRunOptions) {
    this.#options = options;
  }

  async runToEnd(): Promise<CommandRunResult> {
    const { lease, random, pollIntervalMs: pollMs, timeoutMs } = this.#options;
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      if (!lease.isHeld)
        return this.#createResult(Left(createLeaseLostFailure(lease.name)));
      const status = await this.#pollOrSend();
      if (isDecidedStatus(status)) return this.#createResult(status);
      if (performance.now() > endMs) {
        const message = 'the order did not end in time';
        return this.#createResult(Left(new Failure('target_failed', message)));
      }
      await sleep(addJitter(pollMs, random));
    }
  }

  #createResult(
    status: Either<Failure, EngineCommandStatus>,
  ): CommandRunResult {
    return { status, isUnanswered: this.#isUnanswered };
  }

  async #pollOrSend(): Promise<Either<Failure, EngineCommandStatus>> {
    const { storedCommand: placed, findEngine: engine } = this.#options;
    const target = engine().extract();
    if (target === undefined) {
      return Left(new Failure('unknown_target', 'the engine is not listed'));
    }
    const earlier = await this.#getPreviousStatus(target);
    if (earlier !== undefined) return earlier;
    const status = await target.getCommandStatus(placed.record.order.id);
    if (status.isRight()) this.#isUnanswered = false;
    if (!isNotFound(status)) return status;
    return this.#sendCommand(target);
  }

  /** Status of the previous order while it runs or cannot be asked about. */
  async #getPreviousStatus(
    target: Engine,
  ): Promise<Either<Failure, EngineCommandStatus> | undefined> {
    const { previousCommandId: previous } = this.#options;
    if (previous === undefined || this.#sendCount > 0) return undefined;
    const status = await target.getCommandStatus(previous);
    const ended = status.map(isFinalStatus).orDefault(isNotFound(status));
    return ended ? undefined : status;
  }

  async #sendCommand(
    target: Engine,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    const {
      lease,
      storedCommand: placed,
      isRowUnchanged: unchanged,
      log,
    } = this.#options;
    const { order } = placed.record;
    if (this.#sendCount > 0 && !(await unchanged())) lease.markEnded();
    if (!lease.isHeld) return Left(createLeaseLostFailure(lease.name));
    this.#sendCount += 1;
    log.writeEvent('order_sent', {
      target: target.name,
      order: order.id,
      fencing: order.fencing,
    });
    this.#isUnanswered = true;
    const status = await target.sendCommand(order);
    this.#isUnanswered = isUncertainFailure(status);
    return status;
  }
}

const isNotFound = (status: Either<Failure, EngineCommandStatus>) =>
  status.isLeft() && status.extract().code === 'not_found';

const isUncertainFailure = (status: Either<Failure, EngineCommandStatus>) =>
  status.isLeft() && status.extract().executed === 'unknown';

/** Failures of the engine are tried again; the lease's end is not. */
const isDecidedStatus = (status: Either<Failure, EngineCommandStatus>) =>
  status.caseOf({
    Left: failure => failure.code === 'authority_lost',
    Right: isFinalStatus,
  });
