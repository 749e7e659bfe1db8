/**
 * Sends commands to engines. An engine never has two conflicting commands,
 * whether it checks fencing tokens or ignores them.
 */
import { Left, Right } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import type { FleetList } from '../fleet/fleet-list.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runCatching } from '../shared/run-catching.js';
import { isSameVersion } from '../table/row-version.js';
import type { Table } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';
import type { Engine, EngineCommandStatus } from '../target/target.js';

import { createLeaseLostFailure } from './commit-under-lease.js';
import type { ProcessIdentity } from './leases.js';
import type { Lease } from './lease.js';
import type { CommandRecord, CommandSender } from './command-record.js';
import { getCommandLeaseName } from './command-request.js';
import type { CommandRelease, CommandRequest } from './command-request.js';
import { CommandStore } from './command-store.js';
import type { CommandRow, StoredCommand } from './command-store.js';
import { CommandRun } from './command-run.js';
import { CommandSenderResolver } from './command-senders.js';
import { SenderWithdrawal } from './sender-withdrawal.js';
import type { PendingWithdrawal } from './sender-withdrawal.js';
import { KeyedTaskQueue } from './keyed-task-queue.js';

const defaultPollIntervalMs = 500;
const defaultTimeoutMs = 120_000;

export interface CommandCoordinatorOptions {
  readonly table: Table;
  readonly fleet: FleetList;
  readonly self: ProcessIdentity;
  /** Returns the newest incarnation of the engine. */
  readonly findEngine: (target: string) => Maybe<Engine>;
  /** Returns true only if the target is known to check fencing tokens. */
  readonly checksFencing: (target: string) => boolean;
  readonly random: () => number;
  readonly log: Log;
  /** Interval between two status requests to an engine. */
  readonly pollIntervalMs?: number;
  /** Time limit for one run of a command. */
  readonly timeoutMs?: number;
}

/** Records each command in the table before sending it to its engine. */
export class CommandCoordinator {
  readonly #options: CommandCoordinatorOptions;
  readonly #store: CommandStore;
  readonly #senderResolver: CommandSenderResolver;
  readonly #withdrawal: SenderWithdrawal;
  readonly #busyTargets = new Set<string>();
  readonly #taskQueue = new KeyedTaskQueue();

  constructor(options: CommandCoordinatorOptions) {
    this.#options = options;
    this.#store = new CommandStore(options);
    this.#senderResolver = new CommandSenderResolver(options);
    this.#withdrawal = new SenderWithdrawal({
      store: this.#store,
      senders: this.#senderResolver,
      findEngine: options.findEngine,
      taskQueue: this.#taskQueue,
      random: options.random,
    });
  }

  /** Lists the latest command of every target. */
  listCommands(): Promise<Either<Failure, readonly CommandRecord[]>> {
    return this.#store.listCommands();
  }

  /**
   * Sends a command and waits for its end. Fails with `order_conflict` while
   * another command may still run on the target.
   */
  issueCommand(
    request: CommandRequest,
  ): Promise<Either<Failure, CommandRecord>> {
    return this.#runExclusively(request, () => this.#issueExclusively(request));
  }

  /** Finishes the command that an earlier lease holder left open, if any. */
  finishCommand(
    request: Pick<CommandRequest, 'target' | 'lease'>,
  ): Promise<Either<Failure, CommandRecord | undefined>> {
    return this.#runExclusively(request, () =>
      runCatching(async unwrap => {
        const current = await unwrap(this.#store.readCommand(request.target));
        if (current.record === undefined) return undefined;
        return unwrap(this.#resumeCommand(current, request.lease));
      }),
    );
  }

  /**
   * Records an operator's confirmation that no process will send the command
   * any more. Fails with `order_conflict` unless the operator names the target's
   * latest command.
   */
  releaseCommand(
    release: CommandRelease,
  ): Promise<Either<Failure, CommandRecord>> {
    const { target, orderId, operator, reason } = release;
    return runCatching(async unwrap => {
      const { version, record } = await unwrap(this.#store.readCommand(target));
      if (record?.order.id !== orderId) {
        throw new Failure(
          'order_conflict',
          `order "${orderId}" is not the latest order of "${target}"`,
        );
      }
      const releasedRecord: CommandRecord = {
        ...record,
        state: record.state === 'open' ? 'released' : record.state,
        senders: [],
        release: { operator, reason, atMs: Date.now() },
      };
      return (
        await unwrap(this.#store.writeWithoutLease(version, releasedRecord))
      ).record;
    });
  }

  /** Stops the withdrawals that run in the background. */
  stop(): void {
    this.#withdrawal.stop();
  }

  /** Runs one operation per target at a time; a second one fails at once. */
  async #runExclusively<T>(
    { target, lease }: Pick<CommandRequest, 'target' | 'lease'>,
    run: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (lease.name !== getCommandLeaseName(target)) {
      return Left(
        new Failure(
          'internal',
          `"${lease.name}" is not the command lease of "${target}"`,
        ),
      );
    }
    if (this.#busyTargets.has(target)) {
      return Left(
        new Failure(
          'order_conflict',
          `another order of "${target}" is in progress`,
        ),
      );
    }
    this.#busyTargets.add(target);
    const result = await this.#taskQueue.runTask(target, run);
    this.#busyTargets.delete(target);
    return result;
  }

  /** Continues the command of the request if it is recorded, or starts it. */
  #issueExclusively(
    request: CommandRequest,
  ): Promise<Either<Failure, CommandRecord>> {
    const { target, action, lease } = request;
    const commandId =
      request.commandId ?? createRandomToken(this.#options.random);
    return runCatching(async unwrap => {
      const current = await unwrap(this.#store.readCommand(target));
      if (current.record?.order.id === commandId) {
        return unwrap(this.#resumeCommand(current, lease));
      }
      const previousRow = await unwrap(
        this.#settlePreviousCommand(current, request),
      );
      const engine = await unwrap(this.#requireEngine(target));
      const record: CommandRecord = {
        target,
        targetIncarnation: engine.incarnation,
        order: { id: commandId, fencing: lease.fencingToken, action },
        state: 'open',
        senders: this.#senderResolver.addSelf([]),
      };
      return unwrap(this.#recordAndRun(previousRow, record, lease));
    });
  }

  /**
   * Ends the previous command on a target that ignores fencing tokens. Returns
   * the row that a different command may replace.
   */
  #settlePreviousCommand(
    current: CommandRow,
    { target, lease }: CommandRequest,
  ): Promise<Either<Failure, CommandRow>> {
    const { record } = current;
    return runCatching(async unwrap => {
      if (record === undefined || this.#options.checksFencing(target)) {
        return current;
      }
      const senders = await this.#senderResolver.listPossibleSenders(record);
      if (senders.length > 0) throw this.#createStuckFailure(record, senders);
      if (record.state !== 'open') return current;
      await unwrap(this.#resumeCommand(current, lease));
      return unwrap(this.#store.readCommand(target));
    });
  }

  #createStuckFailure(
    record: CommandRecord,
    senders: readonly CommandSender[],
  ): Failure {
    const { target, order } = record;
    const waitingFor = senders.map(({ name }) => name);
    this.#options.log.writeEvent('order_stuck', {
      target,
      order: order.id,
      waitingFor,
    });
    return new Failure(
      'order_conflict',
      `order "${order.id}" of "${target}" may still be sent by another process`,
      { details: { orderId: order.id, waitingFor } },
    );
  }

  /** Continues the same command under a new lease. */
  async #resumeCommand(
    current: CommandRow,
    lease: Lease,
  ): Promise<Either<Failure, CommandRecord>> {
    const { record } = current;
    if (record === undefined) {
      return Left(new Failure('not_found', 'the target has no recorded order'));
    }
    if (record.state !== 'open') return Right(record);
    const resumedRecord: CommandRecord = {
      ...record,
      order: { ...record.order, fencing: lease.fencingToken },
      senders: this.#senderResolver.addSelf(record.senders),
    };
    return this.#recordAndRun(current, resumedRecord, lease);
  }

  /** Records the command and sends it only after the write is confirmed. */
  #recordAndRun(
    previousRow: CommandRow,
    record: CommandRecord,
    lease: Lease,
  ): Promise<Either<Failure, CommandRecord>> {
    return runCatching(async unwrap => {
      const writeResult = await this.#store.writeUnderLease(
        previousRow.version,
        record,
        lease,
      );
      if (isUnknownOutcome(writeResult))
        this.#withdrawSender(previousRow, record, false);
      const storedCommand = await unwrap(writeResult);
      const previousCommandId = previousRow.record?.order.id;
      const run = this.#createRun(storedCommand, lease, previousCommandId);
      const { status, isUnanswered } = await run.runToEnd();
      const recordingResult = await this.#recordResult(
        storedCommand,
        status,
        lease,
      );
      if (recordingResult.isLeft())
        this.#withdrawSender(previousRow, record, isUnanswered);
      return unwrap(recordingResult);
    });
  }

  /** Removes this process from the senders, in the background. */
  #withdrawSender(
    previousRow: CommandRow,
    record: CommandRecord,
    isUnanswered: boolean,
  ): void {
    const pending: PendingWithdrawal = {
      target: record.target,
      commandId: record.order.id,
      previousRowVersion: previousRow.version,
      isUnanswered,
    };
    void this.#withdrawal.withdrawWithRetry(pending);
  }

  #createRun(
    storedCommand: StoredCommand,
    lease: Lease,
    previousCommandId?: string,
  ): CommandRun {
    const { random, log, pollIntervalMs, timeoutMs } = this.#options;
    const { target } = storedCommand.record;
    return new CommandRun({
      lease,
      storedCommand,
      previousCommandId:
        previousCommandId === storedCommand.record.order.id
          ? undefined
          : previousCommandId,
      findEngine: () => this.#options.findEngine(target),
      isRowUnchanged: async () => {
        const row = await this.#store.readCommand(target);
        return row
          .map(({ version }) => isSameVersion(version, storedCommand.version))
          .orDefault(false);
      },
      random,
      log,
      pollIntervalMs: pollIntervalMs ?? defaultPollIntervalMs,
      timeoutMs: timeoutMs ?? defaultTimeoutMs,
    });
  }

  /** Stores the final status; fails when the run ended without one. */
  #recordResult(
    storedCommand: StoredCommand,
    status: Either<Failure, EngineCommandStatus>,
    lease: Lease,
  ): Promise<Either<Failure, CommandRecord>> {
    return runCatching(async unwrap => {
      const { state, reason } = await unwrap(status);
      if (state === 'running') throw createLeaseLostFailure(lease.name);
      const { record, version } = storedCommand;
      const resultRecord: CommandRecord = {
        ...record,
        state,
        reason,
        senders: this.#senderResolver.removeSelf(record.senders),
      };
      await unwrap(this.#store.writeUnderLease(version, resultRecord, lease));
      const { target, order } = record;
      this.#options.log.writeEvent('order_finished', {
        target,
        id: order.id,
        state,
      });
      return resultRecord;
    });
  }

  #requireEngine(target: string): Either<Failure, Engine> {
    return this.#options
      .findEngine(target)
      .toEither(
        new Failure('unknown_target', `engine "${target}" is not listed`),
      );
  }
}

const isUnknownOutcome = (writeResult: Either<Failure, unknown>) =>
  writeResult.isLeft() && writeResult.extract().code === 'platform_unknown';
