/**
 * Gives orders to engines so that none ever holds two conflicting ones,
 * whether it checks fencing numbers or ignores them.
 */
import { Left, Right } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import type { FleetList } from '../fleet/fleet-list.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runSteps } from '../shared/run-catching.js';
import type { Table } from '../table/table.js';
import { randomToken } from '../table/random-token.js';
import type { Engine, OrderStatus } from '../target/target.js';

import { authorityLost } from './commit-under-lease.js';
import type { Holder } from './lease-manager.js';
import type { Lease } from './lease.js';
import type { OrderRecord, Sender } from './command-record.js';
import { orderLeaseName } from './command-request.js';
import type { OrderRelease, OrderRequest } from './command-request.js';
import { OrderRows } from './command-store.js';
import type { OrderRow, PlacedOrder } from './command-store.js';
import { OrderRun } from './command-run.js';
import { OrderSenders } from './command-senders.js';
import { OrderWithdrawal } from './sender-withdrawal.js';
import type { PendingOrder } from './sender-withdrawal.js';
import { SerialTasks } from './keyed-task-queue.js';

const defaultPollMs = 500;
const defaultTimeoutMs = 120_000;

export interface OrderBookOptions {
  readonly table: Table;
  readonly fleet: FleetList;
  readonly self: Holder;
  /** The engine in its newest incarnation. */
  readonly engine: (target: string) => Maybe<Engine>;
  /** False when the target ignores fencing numbers, or if that is not known. */
  readonly checksFencing: (target: string) => boolean;
  readonly random: () => number;
  readonly log: Log;
  readonly pollMs?: number;
  readonly timeoutMs?: number;
}

export class OrderBook {
  readonly #options: OrderBookOptions;
  readonly #rows: OrderRows;
  readonly #senders: OrderSenders;
  readonly #withdrawal: OrderWithdrawal;
  readonly #busy = new Set<string>();
  readonly #serial = new SerialTasks();

  constructor(options: OrderBookOptions) {
    this.#options = options;
    this.#rows = new OrderRows(options);
    this.#senders = new OrderSenders(options);
    this.#withdrawal = new OrderWithdrawal({
      rows: this.#rows,
      senders: this.#senders,
      engine: options.engine,
      serial: this.#serial,
      random: options.random,
    });
  }

  /** The latest order of every target. */
  list(): Promise<Either<Failure, readonly OrderRecord[]>> {
    return this.#rows.list();
  }

  /** Gives an order and waits for its end. */
  issue(request: OrderRequest): Promise<Either<Failure, OrderRecord>> {
    return this.#alone(request, () => this.#issue(request));
  }

  /** Finishes the order that an earlier holder left open, if there is one. */
  finish(
    request: Pick<OrderRequest, 'target' | 'lease'>,
  ): Promise<Either<Failure, OrderRecord | undefined>> {
    return this.#alone(request, () =>
      runSteps(async unwrap => {
        const current = await unwrap(this.#rows.read(request.target));
        if (current.record === undefined) return undefined;
        return unwrap(this.#resume(current, request.lease));
      }),
    );
  }

  /**
   * An operator's word that no earlier holder will send the order any more.
   * Releases only the order that the operator names.
   */
  release(release: OrderRelease): Promise<Either<Failure, OrderRecord>> {
    const { target, orderId, operator, reason } = release;
    return runSteps(async unwrap => {
      const { version, record } = await unwrap(this.#rows.read(target));
      if (record?.order.id !== orderId) {
        throw new Failure('order_conflict', `"${target}" has another order`);
      }
      const released: OrderRecord = {
        ...record,
        state: record.state === 'open' ? 'released' : record.state,
        senders: [],
        release: { operator, reason, atMs: Date.now() },
      };
      return (await unwrap(this.#rows.writeUnguarded(version, released)))
        .record;
    });
  }

  /** Ends the background work of withdrawn orders. */
  stop(): void {
    this.#withdrawal.stop();
  }

  async #alone<T>(
    { target, lease }: Pick<OrderRequest, 'target' | 'lease'>,
    run: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (lease.name !== orderLeaseName(target)) {
      return Left(new Failure('internal', `"${lease.name}" is not the lease`));
    }
    if (this.#busy.has(target)) {
      return Left(new Failure('order_conflict', `"${target}" has an order`));
    }
    this.#busy.add(target);
    const result = await this.#serial.run(target, run);
    this.#busy.delete(target);
    return result;
  }

  #issue(request: OrderRequest): Promise<Either<Failure, OrderRecord>> {
    const { target, action, lease } = request;
    const orderId = request.orderId ?? randomToken(this.#options.random);
    return runSteps(async unwrap => {
      const current = await unwrap(this.#rows.read(target));
      if (current.record?.order.id === orderId) {
        return unwrap(this.#resume(current, lease));
      }
      const base = await unwrap(this.#cleared(current, request));
      const engine = await unwrap(this.#engine(target));
      const record: OrderRecord = {
        target,
        targetIncarnation: engine.incarnation,
        order: { id: orderId, fencing: lease.fencing, action },
        state: 'open',
        senders: this.#senders.withSelf([]),
      };
      return unwrap(this.#place(base, record, lease));
    });
  }

  /** The row on which a different order may follow. */
  #cleared(
    current: OrderRow,
    { target, lease }: OrderRequest,
  ): Promise<Either<Failure, OrderRow>> {
    const { record } = current;
    return runSteps(async unwrap => {
      if (record === undefined || this.#options.checksFencing(target)) {
        return current;
      }
      const senders = await this.#senders.mayStillSend(record);
      if (senders.length > 0) throw this.#stuck(record, senders);
      if (record.state !== 'open') return current;
      await unwrap(this.#resume(current, lease));
      return unwrap(this.#rows.read(target));
    });
  }

  #stuck(record: OrderRecord, senders: readonly Sender[]): Failure {
    const { target, order } = record;
    const waitingFor = senders.map(({ name }) => name);
    this.#options.log.event('order_stuck', {
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
  async #resume(
    current: OrderRow,
    lease: Lease,
  ): Promise<Either<Failure, OrderRecord>> {
    const { record } = current;
    if (record === undefined) {
      return Left(new Failure('not_found', 'the target has no order'));
    }
    if (record.state !== 'open') return Right(record);
    const resumed: OrderRecord = {
      ...record,
      order: { ...record.order, fencing: lease.fencing },
      senders: this.#senders.withSelf(record.senders),
    };
    return this.#place(current, resumed, lease);
  }

  /** Records the order first and sends it only when that is certain. */
  #place(
    base: OrderRow,
    record: OrderRecord,
    lease: Lease,
  ): Promise<Either<Failure, OrderRecord>> {
    return runSteps(async unwrap => {
      const written = await this.#rows.write(base.version, record, lease);
      if (isUnknown(written)) this.#withdraw(base, record, false);
      const placed = await unwrap(written);
      const previous = base.record?.order.id;
      const run = this.#run(placed, lease, previous);
      const { status, unanswered } = await run.follow();
      const ended = await this.#conclude(placed, status, lease);
      if (ended.isLeft()) this.#withdraw(base, record, unanswered);
      return unwrap(ended);
    });
  }

  #withdraw(base: OrderRow, record: OrderRecord, unanswered: boolean): void {
    const pending: PendingOrder = {
      target: record.target,
      orderId: record.order.id,
      baseVersion: base.version,
      unanswered,
    };
    void this.#withdrawal.run(pending);
  }

  #run(placed: PlacedOrder, lease: Lease, previous?: string): OrderRun {
    const { random, log, pollMs, timeoutMs } = this.#options;
    const { target } = placed.record;
    return new OrderRun({
      lease,
      placed,
      previous: previous === placed.record.order.id ? undefined : previous,
      engine: () => this.#options.engine(target),
      unchanged: async () => {
        const row = await this.#rows.read(target);
        return row.map(r => r.version === placed.version).orDefault(false);
      },
      random,
      log,
      pollMs: pollMs ?? defaultPollMs,
      timeoutMs: timeoutMs ?? defaultTimeoutMs,
    });
  }

  #conclude(
    placed: PlacedOrder,
    status: Either<Failure, OrderStatus>,
    lease: Lease,
  ): Promise<Either<Failure, OrderRecord>> {
    return runSteps(async unwrap => {
      const { state, reason } = await unwrap(status);
      if (state === 'running') throw authorityLost(lease.name);
      const { record, version } = placed;
      const ended: OrderRecord = {
        ...record,
        state,
        reason,
        senders: this.#senders.others(record.senders),
      };
      await unwrap(this.#rows.write(version, ended, lease));
      const { target, order } = record;
      this.#options.log.event('order_finished', {
        target,
        id: order.id,
        state,
      });
      return ended;
    });
  }

  #engine(target: string): Either<Failure, Engine> {
    return this.#options
      .engine(target)
      .toEither(new Failure('unknown_target', `no engine "${target}"`));
  }
}

const isUnknown = (written: Either<Failure, unknown>) =>
  written.isLeft() && written.extract().code === 'platform_unknown';
