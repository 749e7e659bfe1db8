/** Gives one order to its engine and follows it to its end. */
import { Left } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';
import type { Engine, OrderStatus } from '../target/target.js';

import { authorityLost } from './commit-under-lease.js';
import type { Lease } from './lease.js';
import type { PlacedOrder } from './command-store.js';

export interface OrderRunOptions {
  readonly lease: Lease;
  readonly placed: PlacedOrder;
  /** Earlier order that the engine must not be running any more. */
  readonly previous?: string;
  /** The engine in its newest incarnation. */
  readonly engine: () => Maybe<Engine>;
  /** Whether the row is still as this process wrote it. */
  readonly unchanged: () => Promise<boolean>;
  readonly random: () => number;
  readonly log: Log;
  readonly pollMs: number;
  readonly timeoutMs: number;
}

export interface OrderRunResult {
  readonly status: Either<Failure, OrderStatus>;
  /** True while a copy of the order may still be on its way. */
  readonly unanswered: boolean;
}

const isFinal = (status: OrderStatus) => status.state !== 'running';

/**
 * The engine is asked about the id before each send: after a lost answer the
 * order may run already, and after a crash a new incarnation has not seen it.
 */
export class OrderRun {
  readonly #options: OrderRunOptions;
  #unanswered = false;
  #sends = 0;

  constructor(options: OrderRunOptions) {
    this.#options = options;
  }

  async follow(): Promise<OrderRunResult> {
    const { lease, random, pollMs, timeoutMs } = this.#options;
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      if (!lease.held) return this.#ended(Left(authorityLost(lease.name)));
      const status = await this.#step();
      if (isDecided(status)) return this.#ended(status);
      if (performance.now() > endMs) {
        const message = 'the order did not end in time';
        return this.#ended(Left(new Failure('target_failed', message)));
      }
      await sleep(jittered(pollMs, random));
    }
  }

  #ended(status: Either<Failure, OrderStatus>): OrderRunResult {
    return { status, unanswered: this.#unanswered };
  }

  async #step(): Promise<Either<Failure, OrderStatus>> {
    const { placed, engine } = this.#options;
    const target = engine().extract();
    if (target === undefined) {
      return Left(new Failure('unknown_target', 'the engine is not listed'));
    }
    const earlier = await this.#previousStatus(target);
    if (earlier !== undefined) return earlier;
    const status = await target.orderStatus(placed.record.order.id);
    if (status.isRight()) this.#unanswered = false;
    if (!isNotFound(status)) return status;
    return this.#send(target);
  }

  /** Status of the previous order while it runs or cannot be asked about. */
  async #previousStatus(
    target: Engine,
  ): Promise<Either<Failure, OrderStatus> | undefined> {
    const { previous } = this.#options;
    if (previous === undefined || this.#sends > 0) return undefined;
    const status = await target.orderStatus(previous);
    const ended = status.map(isFinal).orDefault(isNotFound(status));
    return ended ? undefined : status;
  }

  async #send(target: Engine): Promise<Either<Failure, OrderStatus>> {
    const { lease, placed, unchanged, log } = this.#options;
    const { order } = placed.record;
    if (this.#sends > 0 && !(await unchanged())) lease.end();
    if (!lease.held) return Left(authorityLost(lease.name));
    this.#sends += 1;
    log.event('order_sent', {
      target: target.name,
      order: order.id,
      fencing: order.fencing,
    });
    this.#unanswered = true;
    const status = await target.order(order);
    this.#unanswered = isUncertain(status);
    return status;
  }
}

const isNotFound = (status: Either<Failure, OrderStatus>) =>
  status.isLeft() && status.extract().code === 'not_found';

const isUncertain = (status: Either<Failure, OrderStatus>) =>
  status.isLeft() && status.extract().executed === 'unknown';

/** Failures of the engine are tried again; the lease's end is not. */
const isDecided = (status: Either<Failure, OrderStatus>) =>
  status.caseOf({
    Left: failure => failure.code === 'authority_lost',
    Right: isFinal,
  });
