/**
 * Decides how many targets of each kind a service should have in each data centre.
 * The policy keeps enough for the peaks of the last seconds, also after all spot
 * targets of a data centre have been reclaimed, at the lowest price.
 */
import type { DutyResult, TargetOrder } from '../duties/duty-client.js';

import { computeCapacityNeed } from './capacity-need.js';
import type { CapacityNeed } from './capacity-need.js';
import {
  countSurvivingTargets,
  fillCapacity,
  getCounts,
  listSurplus,
} from './capacity-plan.js';
import type {
  CapacityPlanOptions,
  CountsByDataCenter,
  DataCenterLimits,
} from './capacity-plan.js';
import { DemandHistory } from './demand-history.js';
import { boundOrders } from './order-bounds.js';
import type { OrderChange } from './order-bounds.js';
import { limitRelease } from './release-limit.js';
import type { ScalingOrder } from './scaling-order.js';
import { targetKinds } from './scaling-view.js';
import type {
  DataCenterView,
  ScalingView,
  TargetKind,
} from './scaling-view.js';
import { StandingOrders } from './standing-orders.js';

/** Demand that must be known before the first order. */
const minDemandMs = 3_000;

/** Age of a view from which it no longer says what there is. */
const maxViewAgeMs = 2_000;

/**
 * Window of the peak that on-demand targets are kept for. Bursts of one kind of
 * request come every 5.6 s, so that it holds at least one of each kind.
 */
const onDemandWindowMs = 10_000;

/** Spot targets are kept for longer: they cost little and have cached prompts. */
const spotWindowMs = 30_000;

/** Wait between two reductions as a multiple of the start-up time. */
const settlingStartups = 1.25;

/** Spot targets above the need that are kept, so that small changes order nothing. */
const spareSpotCount = 1;

/**
 * Mean wait at the engines above which nothing is given back, and below which no on-demand
 * targets are ordered: a forecast alone is worth only the cheaper kind.
 */
const longWaitMs = 100;

/** With fewer data centres that have spot targets, all of them may be lost at once. */
const minSpotDataCenters = 2;

/** Share of the engines that prefill, for the mean wait at them. */
const prefillShare = 0.4;

/** Pause after the platform answered that it got too many calls. */
const rateLimitPauseMs = 1_000;

/** What to order now. */
export interface ScalingDecision {
  readonly orders: readonly ScalingOrder[];
  /** Undefined while too little is known. */
  readonly need: CapacityNeed | undefined;
  /** Why nothing may be ordered; undefined if something may. */
  readonly obstacle: string | undefined;
}

/** Decides on the orders of one service during one term of the lease's holder. */
export class ScalingPolicy {
  readonly #history = new DemandHistory();
  readonly #standing = new StandingOrders();
  #pausedUntilMs = -Infinity;
  #hasOrdered = false;

  constructor(private readonly service: string) {}

  /** Records the view and returns the orders that it calls for. */
  decide(view: ScalingView): ScalingDecision {
    const obstacle = this.#observe(view);
    if (obstacle !== undefined)
      return { orders: [], need: undefined, obstacle };
    const need = this.#computeNeed(view, onDemandWindowMs);
    const plan = this.#createPlanOptions(view, need.total);
    const increases = boundOrders(
      view,
      this.#standing,
      this.#listIncreases(view, plan),
    );
    const changes =
      increases.length > 0
        ? increases
        : boundOrders(view, this.#standing, this.#listReductions(view, plan));
    return {
      orders: changes.map(change => this.#toOrder(change)),
      need,
      obstacle: undefined,
    };
  }

  /** Records the answer to an order; undefined if the outcome is unknown. */
  recordResult(
    { dataCenter, desired, isSpot }: TargetOrder,
    result: DutyResult | undefined,
    nowMs: number,
  ): void {
    const kind = isSpot ? 'spot' : 'onDemand';
    this.#hasOrdered = true;
    if (result === 'rate_limited')
      this.#pausedUntilMs = nowMs + rateLimitPauseMs;
    this.#standing.recordResult(dataCenter, kind, { desired, result, nowMs });
  }

  /** Targets that there should be after the last order. */
  getDesired(dataCenter: string, isSpot: boolean): number {
    return this.#standing.getDesired(dataCenter, isSpot ? 'spot' : 'onDemand');
  }

  /** Takes in the view; returns why nothing may be ordered now. */
  #observe(view: ScalingView): string | undefined {
    const { nowMs, settings, dataCenters } = view;
    const { newestAtMs = nowMs } = this.#history;
    if (nowMs - newestAtMs > maxViewAgeMs) this.#history.clear();
    this.#history.addSample(nowMs, dataCenters);
    if (view.obstacle !== undefined) return view.obstacle;
    for (const dataCenter of dataCenters)
      this.#observeTargets(view, dataCenter);
    const watchedMs = this.#history.getDurationMs(nowMs);
    // Targets that the previous holder ordered have registered by then.
    const watchMs = this.#hasOrdered
      ? minDemandMs
      : Math.max(minDemandMs, settings.startupMs);
    if (watchedMs < watchMs) return 'the demand is not known for long enough';
    return nowMs < this.#pausedUntilMs ? 'too many calls' : undefined;
  }

  #observeTargets(
    { nowMs, settings }: ScalingView,
    dataCenter: DataCenterView,
  ): void {
    for (const kind of targetKinds) {
      const { open } = dataCenter[kind];
      if (this.#hasOrdered) {
        const { startupMs } = settings;
        this.#standing.observe(dataCenter.name, kind, open, {
          nowMs,
          startupMs,
        });
      } else {
        this.#standing.adopt(dataCenter.name, kind, open);
      }
    }
  }

  #computeNeed(view: ScalingView, windowMs: number): CapacityNeed {
    const { nowMs, capacity, settings, waitingTokens } = view;
    // Targets that were just ordered have had no time to work off the backlog.
    const isStarting =
      nowMs - this.#standing.increasedAtMs <
      settlingStartups * settings.startupMs;
    const shares = this.#computeShares(view);
    return computeCapacityNeed({
      capacity,
      peak: this.#history.getPeak(nowMs, windowMs),
      waitingTokens: isStarting ? 0 : waitingTokens,
      callerDataCenterCount: [...shares.values()].filter(share => share > 0)
        .length,
    });
  }

  /** Shares of the data centres in which targets can be ordered. */
  #computeShares({
    nowMs,
    settings,
    dataCenters,
  }: ScalingView): ReadonlyMap<string, number> {
    const names = dataCenters
      .map(({ name }) => name)
      .filter(name => settings.prices[name] !== undefined);
    return this.#history.getShares(names, nowMs, onDemandWindowMs);
  }

  #createPlanOptions(view: ScalingView, need: number): CapacityPlanOptions {
    const { settings, dataCenters } = view;
    const shares = this.#computeShares(view);
    const limits = dataCenters.flatMap((dataCenter): DataCenterLimits[] => {
      const price = settings.prices[dataCenter.name];
      if (price === undefined) return [];
      const { name } = dataCenter;
      return [
        {
          name,
          price,
          need: need * (shares.get(name) ?? 0),
          min: Math.min(settings.max, this.#computeMin(view, dataCenter)),
          max: settings.max,
          available: {
            onDemand: this.#countAvailable(view, name, 'onDemand'),
            spot: this.#countAvailable(view, name, 'spot'),
          },
        },
      ];
    });
    return { dataCenters: limits, need, spotPrice: settings.spotPrice };
  }

  /** Targets below which nothing is given back: those that the running work takes. */
  #computeMin({ settings, capacity }: ScalingView, dataCenter: DataCenterView) {
    return Math.max(
      settings.min,
      Math.min(
        Math.ceil(dataCenter.runningRequests / capacity.requestsPerTarget),
        dataCenter.onDemand.open + dataCenter.spot.open,
      ),
    );
  }

  #countAvailable(
    { nowMs, settings }: ScalingView,
    name: string,
    kind: TargetKind,
  ): number {
    return this.#standing.isRefused(name, kind, nowMs)
      ? Math.min(settings.max, this.#standing.getDesired(name, kind))
      : settings.max;
  }

  /**
   * Plans from the spot targets that there are. On-demand targets count only where
   * the plan still needs them, so dearer ones are replaced once others run.
   */
  #listIncreases(
    view: ScalingView,
    options: CapacityPlanOptions,
  ): readonly OrderChange[] {
    const plan = this.#fillFromSpot(options);
    const isEnough =
      countSurvivingTargets(this.#countOpen(view)) >= options.need;
    const reason = isEnough ? 'price' : 'need';
    const mayAddOnDemand = this.#mayAddOnDemand(view, options);
    return options.dataCenters.flatMap(({ name }) =>
      targetKinds.flatMap((kind): OrderChange[] => {
        const counts = getCounts(plan, name);
        const before = this.#standing.getDesired(name, kind);
        const isBound = kind === 'onDemand' && !mayAddOnDemand;
        const desired = isBound
          ? Math.min(counts.onDemand, view.settings.min - counts.spot)
          : counts[kind];
        if (desired <= before) return [];
        return [{ dataCenter: name, kind, before, desired, reason }];
      }),
    );
  }

  /**
   * Caches are cold at the start of a day and after a loss, which shows as a peak of
   * prompt tokens that is over before an ordered engine serves. While spot targets can be
   * had, only prompts that wait, and the lower bound, call for dearer ones.
   */
  #mayAddOnDemand(view: ScalingView, options: CapacityPlanOptions): boolean {
    const spotCount = options.dataCenters.filter(
      ({ name, max }) =>
        max > 0 && !this.#standing.isRefused(name, 'spot', view.nowMs),
    ).length;
    return (
      !view.capacity.isEngine ||
      spotCount < minSpotDataCenters ||
      countOpenTargets(view) === 0 ||
      estimateWaitMs(view) > longWaitMs
    );
  }

  #fillFromSpot(options: CapacityPlanOptions): CountsByDataCenter {
    const start = new Map(
      options.dataCenters.map(({ name, max }) => [
        name,
        {
          onDemand: 0,
          spot: Math.min(max, this.#standing.getDesired(name, 'spot')),
        },
      ]),
    );
    return fillCapacity(options, start);
  }

  /** Gives back on-demand targets first; the plan without them must stand. */
  #listReductions(
    view: ScalingView,
    options: CapacityPlanOptions,
  ): readonly OrderChange[] {
    const { nowMs, settings } = view;
    const sinceChangeMs = nowMs - this.#standing.changedAtMs;
    if (
      view.isDemandPartial ||
      this.#history.getDurationMs(nowMs) < onDemandWindowMs ||
      !this.#hasSeenDemand(nowMs) ||
      sinceChangeMs < settlingStartups * settings.startupMs ||
      estimateWaitMs(view) > longWaitMs
    )
      return [];
    const open = this.#countOpen(view);
    const plan = this.#fillFromSpot(options);
    const onDemand = listSurplus(options, open, 'onDemand', plan);
    if (onDemand.length > 0)
      return this.#toReductions(onDemand, 'onDemand', open);
    const longNeed = this.#computeNeed(view, spotWindowMs).total;
    const spot = listSurplus(
      this.#createPlanOptions(view, longNeed),
      open,
      'spot',
      new Map(),
    );
    return this.#toReductions(spot.slice(0, -spareSpotCount), 'spot', open);
  }

  /** False just after the start of a deployment, before its callers have come. */
  #hasSeenDemand(nowMs: number): boolean {
    return (
      this.#history.getDurationMs(nowMs) > spotWindowMs ||
      this.#history.getPeak(nowMs, spotWindowMs).tokensPerSecond > 0
    );
  }

  /** Targets that are both open and ordered. */
  #countOpen({ dataCenters }: ScalingView): CountsByDataCenter {
    return new Map(
      dataCenters.map(({ name, onDemand, spot }) => [
        name,
        {
          onDemand: Math.min(
            onDemand.open,
            this.#standing.getDesired(name, 'onDemand'),
          ),
          spot: Math.min(spot.open, this.#standing.getDesired(name, 'spot')),
        },
      ]),
    );
  }

  #toReductions(
    surplus: readonly string[],
    kind: TargetKind,
    open: CountsByDataCenter,
  ): readonly OrderChange[] {
    const released = limitRelease(surplus, open);
    return [...new Set(released)].map(name => {
      const before = this.#standing.getDesired(name, kind);
      const count = released.filter(other => other === name).length;
      return {
        dataCenter: name,
        kind,
        before,
        desired: before - count,
        reason: 'surplus',
      };
    });
  }

  #toOrder({ dataCenter, kind, ...rest }: OrderChange): ScalingOrder {
    return {
      service: this.service,
      dataCenter,
      isSpot: kind === 'spot',
      ...rest,
    };
  }
}

const countOpenTargets = ({ dataCenters }: ScalingView): number =>
  dataCenters.reduce(
    (sum, { onDemand, spot }) => sum + onDemand.open + spot.open,
    0,
  );

/** Mean time for which a prompt waits at the engines that prefill. */
const estimateWaitMs = (view: ScalingView): number => {
  const engines = Math.max(1, prefillShare * countOpenTargets(view));
  return view.waitingTokens / view.capacity.prefillTokensPerMs / engines;
};
