/**
 * Gives orders to engines so that none ever holds two conflicting ones,
 * whether it checks fencing numbers or ignores them.
 */
import { Left, Right } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import type { FleetList } from '../fleet/fleet-list.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runCatching } from '../shared/run-catching.js';
import type { Table } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';
import type { Engine, EngineCommandStatus } from '../target/target.js';

import { createLeaseLostFailure } from './commit-under-lease.js';
import type { ProcessIdentity } from './lease-manager.js';
import type { Lease } from './lease.js';
import type { CommandRecord, CommandSender } from './command-record.js';
import { getCommandLeaseName } from './command-request.js';
import type { CommandRelease, CommandRequest } from './command-request.js';
import { CommandStore } from './command-store.js';
import type { CommandRow, StoredCommand } from './command-store.js';
import { CommandRun } from './command-run.js';
import { CommandSenders } from './command-senders.js';
import { SenderWithdrawal } from './sender-withdrawal.js';
import type { PendingWithdrawal } from './sender-withdrawal.js';
import { KeyedTaskQueue } from './keyed-task-queue.js';

const defaultPollIntervalMs = 500;
const defaultTimeoutMs = 120_000;

export interface CommandCoordinatorOptions {
  readonly table: Table;
  readonly fleet: FleetList;
  readonly self: ProcessIdentity;
  /** The engine in its newest incarnation. */
  readonly findEngine: (target: string) => Maybe<Engine>;
  /** False when the target ignores fencing numbers, or if that is not known. */
  readonly checksFencing: (target: string) => boolean;
  readonly random: () => number;
  readonly log: Log;
  readonly pollIntervalMs?: number;
  readonly timeoutMs?: number;
}

export class CommandCoordinator {
  readonly #options: CommandCoordinatorOptions;
  readonly #store: CommandStore;
  readonly #senders: CommandSenders;
  readonly #withdrawal: SenderWithdrawal;
  readonly #busyTargets = new Set<string>();
  readonly #taskQueue = new KeyedTaskQueue();

  constructor(options: CommandCoordinatorOptions) {
    this.#options = options;
    this.#store = new CommandStore(options);
    this.#senders = new CommandSenders(options);
    this.#withdrawal = new SenderWithdrawal({
      store: this.#store,
      senders: this.#senders,
      findEngine: options.findEngine,
      taskQueue: this.#taskQueue,
      random: options.random,
    });
  }

  /** The latest order of every target. */
  listCommands(): Promise<Either<Failure, readonly CommandRecord[]>> {
    return this.#store.listCommands();
  }

  /** Gives an order and waits for its end. */
  issueCommand(
    request: CommandRequest,
  ): Promise<Either<Failure, CommandRecord>> {
    return this.#runExclusively(request, () => this.#issueExclusively(request));
  }

  /** Finishes the order that an earlier holder left open, if there is one. */
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
   * An operator's word that no earlier holder will send the order any more.
   * Releases only the order that the operator names.
   */
  releaseCommand(
    release: CommandRelease,
  ): Promise<Either<Failure, CommandRecord>> {
    const { target, orderId, operator, reason } = release;
    return runCatching(async unwrap => {
      const { version, record } = await unwrap(this.#store.readCommand(target));
      if (record?.order.id !== orderId) {
        throw new Failure('order_conflict', `"${target}" has another order`);
      }
      const released: CommandRecord = {
        ...record,
        state: record.state === 'open' ? 'released' : record.state,
        senders: [],
        release: { operator, reason, atMs: Date.now() },
      };
      return (await unwrap(this.#store.writeWithoutLease(version, released)))
        .record;
    });
  }

  /** Ends the background work of withdrawn orders. */
  stop(): void {
    this.#withdrawal.stop();
  }

  async #runExclusively<T>(
    { target, lease }: Pick<CommandRequest, 'target' | 'lease'>,
    run: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (lease.name !== getCommandLeaseName(target)) {
      return Left(new Failure('internal', `"${lease.name}" is not the lease`));
    }
    if (this.#busyTargets.has(target)) {
      return Left(new Failure('order_conflict', `"${target}" has an order`));
    }
    this.#busyTargets.add(target);
    const result = await this.#taskQueue.runTask(target, run);
    this.#busyTargets.delete(target);
    return result;
  }

  #issueExclusively(
    request: CommandRequest,
  ): Promise<Either<Failure, CommandRecord>> {
    const { target, action, lease } = request;
    const orderId =
      request.commandId ?? createRandomToken(this.#options.random);
    return runCatching(async unwrap => {
      const current = await unwrap(this.#store.readCommand(target));
      if (current.record?.order.id === orderId) {
        return unwrap(this.#resumeCommand(current, lease));
      }
      const base = await unwrap(this.#settlePreviousCommand(current, request));
      const engine = await unwrap(this.#requireEngine(target));
      const record: CommandRecord = {
        target,
        targetIncarnation: engine.incarnation,
        order: { id: orderId, fencing: lease.fencingToken, action },
        state: 'open',
        senders: this.#senders.addSelf([]),
      };
      return unwrap(this.#recordAndRun(base, record, lease));
    });
  }

  /** The row on which a different order may follow. */
  #settlePreviousCommand(
    current: CommandRow,
    { target, lease }: CommandRequest,
  ): Promise<Either<Failure, CommandRow>> {
    const { record } = current;
    return runCatching(async unwrap => {
      if (record === undefined || this.#options.checksFencing(target)) {
        return current;
      }
      const senders = await this.#senders.listPossibleSenders(record);
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

  /** Goes on with the same order under a new lease. */
  async #resumeCommand(
    current: CommandRow,
    lease: Lease,
  ): Promise<Either<Failure, CommandRecord>> {
    const { record } = current;
    if (record === undefined) {
      return Left(new Failure('not_found', 'the target has no order'));
    }
    if (record.state !== 'open') return Right(record);
    const resumed: CommandRecord = {
      ...record,
      order: { ...record.order, fencing: lease.fencingToken },
      senders: this.#senders.addSelf(record.senders),
    };
    return this.#recordAndRun(current, resumed, lease);
  }

  /** Records the order first and sends it only when that is certain. */
  #recordAndRun(
    base: CommandRow,
    record: CommandRecord,
    lease: Lease,
  ): Promise<Either<Failure, CommandRecord>> {
    return runCatching(async unwrap => {
      const written = await this.#store.writeUnderLease(
        base.version,
        record,
        lease,
      );
      if (isUnknownOutcome(written)) this.#withdrawSender(base, record, false);
      const placed = await unwrap(written);
      const previous = base.record?.order.id;
      const run = this.#createRun(placed, lease, previous);
      const { status, isUnanswered: unanswered } = await run.runToEnd();
      const ended = await this.#recordResult(placed, status, lease);
      if (ended.isLeft()) this.#withdrawSender(base, record, unanswered);
      return unwrap(ended);
    });
  }

  #withdrawSender(
    base: CommandRow,
    record: CommandRecord,
    unanswered: boolean,
  ): void {
    const pending: PendingWithdrawal = {
      target: record.target,
      commandId: record.order.id,
      previousRowVersion: base.version,
      isUnanswered: unanswered,
    };
    void this.#withdrawal.withdrawWithRetry(pending);
  }

  #createRun(
    placed: StoredCommand,
    lease: Lease,
    previous?: string,
  ): CommandRun {
    const { random, log, pollIntervalMs: pollMs, timeoutMs } = this.#options;
    const { target } = placed.record;
    return new CommandRun({
      lease,
      storedCommand: placed,
      previousCommandId:
        previous === placed.record.order.id ? undefined : previous,
      findEngine: () => this.#options.findEngine(target),
      isRowUnchanged: async () => {
        const row = await this.#store.readCommand(target);
        return row.map(r => r.version === placed.version).orDefault(false);
      },
      random,
      log,
      pollIntervalMs: pollMs ?? defaultPollIntervalMs,
      timeoutMs: timeoutMs ?? defaultTimeoutMs,
    });
  }

  #recordResult(
    placed: StoredCommand,
    status: Either<Failure, EngineCommandStatus>,
    lease: Lease,
  ): Promise<Either<Failure, CommandRecord>> {
    return runCatching(async unwrap => {
      const { state, reason } = await unwrap(status);
      if (state === 'running') throw createLeaseLostFailure(lease.name);
      const { record, version } = placed;
      const ended: CommandRecord = {
        ...record,
        state,
        reason,
        senders: this.#senders.removeSelf(record.senders),
      };
      await unwrap(this.#store.writeUnderLease(version, ended, lease));
      const { target, order } = record;
      this.#options.log.writeEvent('order_finished', {
        target,
        id: order.id,
        state,
      });
      return ended;
    });
  }

  #requireEngine(target: string): Either<Failure, Engine> {
    return this.#options
      .findEngine(target)
      .toEither(new Failure('unknown_target', `no engine "${target}"`));
  }
}

const isUnknownOutcome = (written: Either<Failure, unknown>) =>
  written.isLeft() && written.extract().code === 'platform_unknown';
