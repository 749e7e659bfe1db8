/** Keeps orders within the bounds of the service's configuration. */
import type {
  DataCenterView,
  ScalingView,
  TargetKind,
} from './scaling-view.js';
import type { StandingOrders } from './standing-orders.js';

/**
 * Why targets are ordered: callers need them, cheaper ones replace others, the rest is
 * enough, or the bounds of the configuration have changed.
 */
export type OrderReason = 'need' | 'price' | 'surplus' | 'bounds';

/** Another number of targets of one kind in a data centre. */
export interface OrderChange {
  readonly dataCenter: string;
  readonly kind: TargetKind;
  readonly before: number;
  readonly desired: number;
  readonly reason: OrderReason;
}

/**
 * Returns the changes with numbers that keep both kinds together within the bounds,
 * in the order in which they are sent, without those that change nothing. Where there
 * are more targets than the bounds allow, the changes first give back the excess.
 */
export const boundOrders = (
  view: ScalingView,
  standing: StandingOrders,
  changes: readonly OrderChange[],
): readonly OrderChange[] => {
  const excess = view.dataCenters.flatMap(dataCenter =>
    listExcess(view, standing, dataCenter),
  );
  if (excess.length > 0) return excess;
  const bounded = new BoundedOrders(view, standing);
  for (const change of changes) bounded.add(change);
  return bounded.list();
};

/** Orders in the sequence in which they are sent. */
class BoundedOrders {
  readonly #changes: OrderChange[] = [];

  constructor(
    private readonly view: ScalingView,
    private readonly standing: StandingOrders,
  ) {}

  add(change: OrderChange): void {
    const { before, desired } = change;
    if (desired > before) this.#addIncrease(change);
    else this.#addReduction(change);
  }

  list(): readonly OrderChange[] {
    return this.#changes;
  }

  /**
   * Adds an increase as far as there is room; targets that are leaving still count. If
   * the platform may replace lost targets of the other kind beside it, it is told to
   * replace fewer, which must not leave the lower bound either.
   */
  #addIncrease(change: OrderChange): void {
    const { dataCenter: name, kind, before } = change;
    const { min, max } = this.view.settings;
    const dataCenter = this.view.dataCenters.find(each => each.name === name);
    const leaving =
      (dataCenter?.onDemand.leaving ?? 0) + (dataCenter?.spot.leaving ?? 0);
    const otherKind = getOtherKind(kind);
    const others = this.#getOrdered(name, otherKind);
    const wanted = Math.min(change.desired, max - others - leaving);
    const mostOthers = this.standing.getMostOrdered(name, otherKind);
    const keptOthers = Math.min(
      mostOthers,
      Math.max(others, max - wanted, min - before),
    );
    const desired = Math.min(wanted, max - keptOthers);
    if (desired <= before) return;
    if (keptOthers < mostOthers)
      this.#changes.push({
        dataCenter: name,
        kind: otherKind,
        before: mostOthers,
        desired: keptOthers,
        reason: 'bounds',
      });
    this.#changes.push({ ...change, desired });
  }

  #addReduction(change: OrderChange): void {
    const { dataCenter: name, kind, before } = change;
    const dataCenter = this.view.dataCenters.find(each => each.name === name);
    const otherKind = getOtherKind(kind);
    const others = Math.min(
      this.#getOrdered(name, otherKind),
      dataCenter?.[otherKind].open ?? 0,
    );
    const desired = Math.max(change.desired, this.view.settings.min - others);
    if (desired < before) this.#changes.push({ ...change, desired });
  }

  #getOrdered(name: string, kind: TargetKind): number {
    const change = this.#changes.findLast(
      each => each.dataCenter === name && each.kind === kind,
    );
    return change?.desired ?? this.standing.getDesired(name, kind);
  }
}

const getOtherKind = (kind: TargetKind): TargetKind =>
  kind === 'spot' ? 'onDemand' : 'spot';

/** Gives back what is above a lowered bound, the dearer on-demand targets first. */
const listExcess = (
  { settings }: ScalingView,
  standing: StandingOrders,
  { name }: DataCenterView,
): OrderChange[] => {
  const onDemand = standing.getDesired(name, 'onDemand');
  const spot = standing.getDesired(name, 'spot');
  const excess = onDemand + spot - settings.max;
  if (excess <= 0 || settings.prices[name] === undefined) return [];
  const fromOnDemand = Math.min(excess, onDemand);
  const reason = 'bounds' as const;
  const dataCenter = name;
  const orders: OrderChange[] = [
    {
      dataCenter,
      kind: 'onDemand',
      before: onDemand,
      desired: onDemand - fromOnDemand,
      reason,
    },
    {
      dataCenter,
      kind: 'spot',
      before: spot,
      desired: spot - (excess - fromOnDemand),
      reason,
    },
  ];
  return orders.filter(({ before, desired }) => before !== desired);
};
