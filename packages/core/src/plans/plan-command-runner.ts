/** Carries a plan's order to its end in the background, and says how far. */
import type { Either } from 'purify-ts';

import type { LeaseKeeper } from '../authority/lease-manager.js';
import type { Lease } from '../authority/lease.js';
import type { OrderBook } from '../authority/command-coordinator.js';
import type { OrderRecord } from '../authority/command-record.js';
import { orderLeaseName } from '../authority/command-request.js';
import type { Failure } from '../shared/failure.js';
import { runSteps } from '../shared/run-catching.js';
import type { OrderAction } from '../target/target.js';

import type { Plan } from './maintenance-plan.js';

/** How far an order is. */
export type OrderProgress =
  | { readonly kind: 'running'; readonly waitingOn: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'failed'; readonly reason: string };

export interface OrderCarrierOptions {
  readonly leases: LeaseKeeper;
  readonly orders: OrderBook;
}

export class OrderCarrier {
  readonly #options: OrderCarrierOptions;
  /** By plan: what the last attempt said; `running` while it goes on. */
  readonly #progress = new Map<string, OrderProgress>();

  constructor(options: OrderCarrierOptions) {
    this.#options = options;
  }

  /**
   * Starts the plan's order unless it runs, and says how far it is. The plan's
   * id is the order's id, so that every instance finishes the same order.
   */
  advance(plan: Plan, action: OrderAction): OrderProgress {
    const known = this.#progress.get(plan.id);
    if (known?.kind === 'done' || known?.kind === 'failed') {
      this.#progress.delete(plan.id);
      return known;
    }
    if (known === undefined) {
      this.#progress.set(plan.id, { kind: 'running', waitingOn: 'the engine' });
      void this.#carry(plan, action);
    }
    return known ?? { kind: 'running', waitingOn: 'the engine' };
  }

  async #carry(plan: Plan, action: OrderAction): Promise<void> {
    const outcome = await this.#issue(plan, action);
    outcome
      .ifRight(record => {
        this.#progress.set(plan.id, progressOf(record));
      })
      .ifLeft(failure => {
        this.#retryLater(plan.id, failure);
      });
  }

  #issue(
    plan: Plan,
    action: OrderAction,
  ): Promise<Either<Failure, OrderRecord>> {
    const { leases, orders } = this.#options;
    const { target } = plan.request;
    return runSteps(async unwrap => {
      const lease = await unwrap(leases.acquire(orderLeaseName(target)));
      try {
        const request = { target, action, lease, orderId: plan.id };
        return await unwrap(orders.issue(request));
      } finally {
        await releaseQuietly(leases, lease);
      }
    });
  }

  /** Says why it waits; the next round but one tries again. */
  #retryLater(plan: string, failure: Failure): void {
    const waitingOn = failure.message;
    this.#progress.set(plan, { kind: 'running', waitingOn });
    setTimeout(
      () => this.#progress.delete(plan),
      failure.retryAfterMs ?? 1_000,
    );
  }
}

const releaseQuietly = async (
  leases: LeaseKeeper,
  lease: Lease,
): Promise<void> => {
  await leases.release(lease);
};

const progressOf = ({ state, reason }: OrderRecord): OrderProgress => {
  if (state === 'done') return { kind: 'done' };
  return { kind: 'failed', reason: reason ?? `the order was ${state}` };
};
