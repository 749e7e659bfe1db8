/**
 * Orders targets as a duty of the leader: looks at the deployment at each step, and
 * sends what the policies decide, each order under a fresh confirmation of the lease.
 */
import { sleep } from '@medlarlever/core';
import type { Log, Write } from '@medlarlever/core';

import type { DutyAuthority } from '../duties/duty-authority.js';
import type { DutyClient, TargetOrder } from '../duties/duty-client.js';
import { Duty } from '../duties/duty.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';

import { listOrdersAfter } from './scaling-order.js';
import type { ScalingOrder } from './scaling-order.js';
import { ScalingPolicy } from './scaling-policy.js';
import type { ScalingDecision } from './scaling-policy.js';
import type {
  ScaledService,
  ScalingViewBuilder,
} from './scaling-view-builder.js';

/** Interval of the views before the first step, at which the leader's steps come later. */
const watchIntervalMs = 500;

/** Views before the first step after which the term has ended without one. */
const maxWatchCount = 60;

/** Part of the calls that the platform takes from all duties together. */
const callShare = 0.5;

/** Time of a step after which what is left to order is decided anew. */
const maxStepMs = 1_000;

const msPerSecond = 1_000;

/** Dependencies of {@link ScalingDuty}. */
export interface ScalingDutyOptions {
  readonly routes: RouteTableHolder;
  readonly views: ScalingViewBuilder;
  readonly client: DutyClient;
  /** Returns the calls a second that the platform takes from all duties. */
  readonly getCallsPerSecond: () => number;
  readonly log: Log;
}

/** Orders the targets of all services that have bounds for them. */
export class ScalingDuty extends Duty {
  override readonly name = 'scaling';
  readonly #options: ScalingDutyOptions;
  readonly #policies = new Map<string, ScalingPolicy>();
  readonly #obstacles = new Map<string, string>();
  #watchTimer: NodeJS.Timeout | undefined;
  #nextCallAtMs = 0;

  constructor(options: ScalingDutyOptions) {
    super();
    this.#options = options;
  }

  /** Knowledge that other instances have and this one lacks only delays the orders. */
  override get isImpeded(): boolean {
    return false;
  }

  /** Begins to watch, so that the demand is known when the first step comes. */
  override startTerm(): void {
    this.#policies.clear();
    this.#obstacles.clear();
    clearInterval(this.#watchTimer);
    let watchCount = 0;
    this.#watchTimer = setInterval(() => {
      for (const service of this.#listServices()) this.#decide(service);
      watchCount += 1;
      if (watchCount >= maxWatchCount) clearInterval(this.#watchTimer);
    }, watchIntervalMs);
    this.#watchTimer.unref();
  }

  override async takeStep(authority: DutyAuthority): Promise<void> {
    clearInterval(this.#watchTimer);
    const deadlineMs = performance.now() + maxStepMs;
    for (const service of this.#listServices()) {
      const decision = this.#decide(service);
      this.#logObstacle(service.name, decision);
      await this.#sendOrders(service, decision, authority, deadlineMs);
    }
  }

  /**
   * Targets that there should be by data centre; undefined unless this instance has
   * led and ordered.
   */
  getDesired(
    service: string,
    dataCenter: string,
    isSpot: boolean,
  ): number | undefined {
    return this.#policies.get(service)?.getDesired(dataCenter, isSpot);
  }

  #listServices(): readonly ScaledService[] {
    const services = this.#options.routes.currentTable?.services ?? [];
    return services.flatMap(({ scaling, ...service }) =>
      scaling === undefined ? [] : [{ ...service, scaling }],
    );
  }

  #decide(service: ScaledService): ScalingDecision {
    return this.#getPolicy(service.name).decide(
      this.#options.views.build(service),
    );
  }

  #getPolicy(service: string): ScalingPolicy {
    const existing = this.#policies.get(service);
    if (existing !== undefined) return existing;
    const policy = new ScalingPolicy(service);
    this.#policies.set(service, policy);
    return policy;
  }

  async #sendOrders(
    service: ScaledService,
    { orders, need }: ScalingDecision,
    authority: DutyAuthority,
    deadlineMs: number,
  ): Promise<void> {
    let pending = orders;
    while (pending[0] !== undefined) {
      const [order, ...rest] = pending;
      if (Math.max(performance.now(), this.#nextCallAtMs) > deadlineMs) return;
      const waitMs = this.#nextCallAtMs - performance.now();
      if (waitMs > 0 && !(await sleep(waitMs, authority.signal))) return;
      const remaining = await this.#sendOrder(order, rest, need, authority);
      if (remaining === undefined) return;
      pending = remaining;
    }
  }

  /** Sends the order; returns those that may follow, undefined without a confirmation. */
  async #sendOrder(
    order: ScalingOrder,
    rest: readonly ScalingOrder[],
    need: ScalingDecision['need'],
    authority: DutyAuthority,
  ): Promise<readonly ScalingOrder[] | undefined> {
    const { client, log, getCallsPerSecond } = this.#options;
    const { service, dataCenter, isSpot, desired, before, reason } = order;
    const confirmation = await authority.confirm([
      createOrderWrite(order, authority.fencingToken),
    ]);
    if (confirmation.isLeft()) return undefined;
    const holder = confirmation.unsafeCoerce();
    this.#nextCallAtMs =
      performance.now() + msPerSecond / (callShare * getCallsPerSecond());
    const answer = await client.orderTargets(
      { service, dataCenter, isSpot, desired },
      holder,
    );
    const result = answer.toMaybe().extract();
    this.#getPolicy(service).recordResult(order, result, performance.now());
    const fields = {
      service,
      data_center: dataCenter,
      kind: isSpot ? 'spot' : 'on demand',
      before,
      desired,
      reason,
      needed: need?.total,
      fencing: holder.fencingToken,
      outcome: answer.caseOf<string>({
        Left: failure => failure.message,
        Right: value => value,
      }),
    };
    const wasGiven = result === 'accepted' || result === undefined;
    log.writeEvent(wasGiven ? 'targets_ordered' : 'order_unavailable', fields);
    return listOrdersAfter(rest, order, result);
  }

  #logObstacle(service: string, { obstacle }: ScalingDecision): void {
    const previous = this.#obstacles.get(service);
    if (obstacle === previous) return;
    if (obstacle === undefined) this.#obstacles.delete(service);
    else this.#obstacles.set(service, obstacle);
    this.#options.log.writeEvent('ordering_paused', {
      service,
      reason: obstacle ?? null,
    });
  }
}

/** Creates the table write that records the last order of a kind in a data centre. */
const createOrderWrite = (
  { service, dataCenter, isSpot, desired }: TargetOrder,
  fencing: number,
): Write => ({
  kind: 'put',
  key: {
    partition: 'target-orders',
    sort: `${service}/${dataCenter}/${isSpot ? 'spot' : 'on-demand'}`,
  },
  condition: { kind: 'any' },
  value: { desired, fencing },
});
