/**
 * Spreads targets over data centres and kinds: the cheapest ones near the callers
 * that are still enough when a data centre loses all of its spot targets at once.
 */
import { targetKinds } from './scaling-view.js';
import type { TargetKind } from './scaling-view.js';

/** Targets of one data centre by kind. */
export type TargetCounts = Readonly<Record<TargetKind, number>>;

/** Targets of all data centres by name. */
export type CountsByDataCenter = ReadonlyMap<string, TargetCounts>;

/** What a data centre needs and may have. */
export interface DataCenterLimits {
  readonly name: string;
  /** Price of an on-demand target. */
  readonly price: number;
  /** Targets that the callers of the data centre need; a fraction counts for the choice. */
  readonly need: number;
  /** Fewest and most targets, both kinds together. */
  readonly min: number;
  readonly max: number;
  /** Most targets of each kind that are to be had now. */
  readonly available: TargetCounts;
}

/** Need and prices for {@link fillCapacity}. */
export interface CapacityPlanOptions {
  readonly dataCenters: readonly DataCenterLimits[];
  /** Targets needed in all data centres together. */
  readonly need: number;
  /** Price of a spot target relative to an on-demand one. */
  readonly spotPrice: number;
}

/** Need at which a data centre without callers counts, as remote work costs time. */
const minNeedForChoice = 0.25;

/** Stands for a price of zero, at which the other parts of a cost would not count. */
const minPrice = 1e-6;

/**
 * Part of a target by which a data centre may fall short of its own need, so that
 * small changes of the callers' shares order nothing.
 */
const needTolerance = 0.25;

const noTargets: TargetCounts = { onDemand: 0, spot: 0 };

export const getCounts = (
  counts: CountsByDataCenter,
  dataCenter: string,
): TargetCounts => counts.get(dataCenter) ?? noTargets;

export const sumKinds = ({ onDemand, spot }: TargetCounts): number =>
  onDemand + spot;

/** Targets that are left when the data centre with the most spot targets loses them. */
export const countSurvivingTargets = (counts: CountsByDataCenter): number => {
  const all = [...counts.values()];
  const total = all.reduce((sum, each) => sum + sumKinds(each), 0);
  return total - Math.max(0, ...all.map(({ spot }) => spot));
};

/** Returns the counts with a target more, or less, in one data centre. */
const addTargets = (
  counts: CountsByDataCenter,
  name: string,
  kind: TargetKind,
  change: number,
): CountsByDataCenter => {
  const current = getCounts(counts, name);
  return new Map(counts).set(name, {
    ...current,
    [kind]: current[kind] + change,
  });
};

/** A target that may be ordered. */
interface Candidate {
  readonly dataCenter: DataCenterLimits;
  readonly kind: TargetKind;
  readonly cost: number;
}

/**
 * Adds the cheapest targets until the need is met, and still met without the spot
 * targets of any one data centre, or until no more are to be had.
 */
export const fillCapacity = (
  options: CapacityPlanOptions,
  start: CountsByDataCenter,
): CountsByDataCenter => {
  let counts = start;
  for (;;) {
    const candidate =
      findForShortDataCenter(options, counts) ??
      findForWholeNeed(options, counts);
    if (candidate === undefined) return counts;
    const { dataCenter, kind } = candidate;
    counts = addTargets(counts, dataCenter.name, kind, 1);
  }
};

/**
 * Finds a target for a data centre that has less than its minimum or than its callers
 * need. The latter is met with the cheaper kind only: while that is not to be had
 * there, the targets of other data centres do for some seconds.
 */
const findForShortDataCenter = (
  options: CapacityPlanOptions,
  counts: CountsByDataCenter,
): Candidate | undefined => {
  const cheaperKind = computeSpotFactor(options) < 1 ? 'spot' : 'onDemand';
  for (const dataCenter of options.dataCenters) {
    const total = sumKinds(getCounts(counts, dataCenter.name));
    const localNeed = Math.ceil(dataCenter.need - needTolerance);
    if (total >= Math.max(dataCenter.min, localNeed)) continue;
    const candidate = findCheapest(
      listCandidates(options, counts).filter(
        ({ dataCenter: { name }, kind }) =>
          name === dataCenter.name &&
          (total < dataCenter.min || kind === cheaperKind),
      ),
    );
    if (candidate !== undefined) return candidate;
  }
  return undefined;
};

const findForWholeNeed = (
  options: CapacityPlanOptions,
  counts: CountsByDataCenter,
): Candidate | undefined => {
  if (countSurvivingTargets(counts) >= options.need) return undefined;
  const candidates = listCandidates(options, counts);
  const mostSpot = Math.max(0, ...[...counts.values()].map(({ spot }) => spot));
  const spotCount = candidates.filter(({ kind }) => kind === 'spot').length;
  // Spot targets help only where other data centres have, or can get, as many.
  return findCheapest(
    candidates.filter(
      ({ dataCenter, kind }) =>
        kind === 'onDemand' ||
        spotCount > 1 ||
        getCounts(counts, dataCenter.name).spot < mostSpot,
    ),
  );
};

const listCandidates = (
  options: CapacityPlanOptions,
  counts: CountsByDataCenter,
): readonly Candidate[] =>
  options.dataCenters.flatMap(dataCenter => {
    const current = getCounts(counts, dataCenter.name);
    if (sumKinds(current) >= dataCenter.max) return [];
    return targetKinds
      .filter(kind => current[kind] < dataCenter.available[kind])
      .map(kind => ({
        dataCenter,
        kind,
        cost: computeCost(options, dataCenter, kind, sumKinds(current) + 1),
      }));
  });

/**
 * Price of a target, weighted by how many there are for the need of the data centre's
 * callers. The square root keeps an on-demand target near callers dearer than a spot
 * target elsewhere, unless the latter data centre has many times what its callers need.
 */
const computeCost = (
  options: CapacityPlanOptions,
  dataCenter: DataCenterLimits,
  kind: TargetKind,
  count: number,
): number => {
  const price =
    Math.max(minPrice, dataCenter.price) *
    (kind === 'spot' ? computeSpotFactor(options) : 1);
  return price * Math.sqrt(count / Math.max(minNeedForChoice, dataCenter.need));
};

/**
 * Price of a spot target that can be counted on, relative to an on-demand target: of
 * the spot targets in n data centres, those of n - 1 are left after a loss.
 */
const computeSpotFactor = ({
  dataCenters,
  spotPrice,
}: CapacityPlanOptions): number => {
  const spotDataCenterCount = dataCenters.filter(
    ({ available }) => available.spot > 0,
  ).length;
  return spotDataCenterCount < 2
    ? Infinity
    : (spotPrice * spotDataCenterCount) / (spotDataCenterCount - 1);
};

const findCheapest = (
  candidates: readonly Candidate[],
): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>(
    (cheapest, candidate) =>
      cheapest === undefined || candidate.cost < cheapest.cost
        ? candidate
        : cheapest,
    undefined,
  );

/**
 * Lists the data centres of targets of the kind that are not needed, most expensive
 * first; a data centre is listed once for each such target. `keep` holds the number
 * below which the kind does not go.
 */
export const listSurplus = (
  options: CapacityPlanOptions,
  start: CountsByDataCenter,
  kind: TargetKind,
  keep: CountsByDataCenter,
): readonly string[] => {
  const surplus: string[] = [];
  let counts = start;
  for (;;) {
    const current = counts;
    const removable = options.dataCenters
      .filter(
        ({ name }) =>
          getCounts(current, name)[kind] > getCounts(keep, name)[kind],
      )
      .filter(dataCenter => isSurplus(options, current, dataCenter, kind))
      .map(dataCenter => ({
        dataCenter,
        kind,
        cost: -computeCost(
          options,
          dataCenter,
          kind,
          sumKinds(getCounts(current, dataCenter.name)),
        ),
      }));
    const next = findCheapest(removable);
    if (next === undefined) return surplus;
    const { name } = next.dataCenter;
    surplus.push(name);
    counts = addTargets(counts, name, kind, -1);
  }
};

const isSurplus = (
  { need }: CapacityPlanOptions,
  counts: CountsByDataCenter,
  dataCenter: DataCenterLimits,
  kind: TargetKind,
): boolean => {
  const rest = addTargets(counts, dataCenter.name, kind, -1);
  const localRest = sumKinds(getCounts(rest, dataCenter.name));
  return (
    localRest >= Math.max(dataCenter.min, Math.ceil(dataCenter.need)) &&
    countSurvivingTargets(rest) >= need
  );
};
