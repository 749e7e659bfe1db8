/** Selects the engines that change their role, by load and data centre. */
import type { EngineView } from '@medlarlever/core';

/** Returns the engines in ascending order of their load. */
export const sortByLoad = (
  engines: readonly EngineView[],
): readonly EngineView[] =>
  [...engines].sort(
    (a, b) => a.running + a.prefillTokens - b.running - b.prefillTokens,
  );

/** Capacity relative to that of an engine without a request limit. */
export const getCapacityShare = ({ capacityShare = 1 }: EngineView): number =>
  capacityShare;

const isLimited = (engine: EngineView): boolean => getCapacityShare(engine) < 1;

/**
 * Returns the engines in the order in which they help most in another role: those
 * without a request limit first, each kind in ascending order of its load.
 */
export const sortByUse = (
  engines: readonly EngineView[],
): readonly EngineView[] => {
  const sorted = sortByLoad(engines);
  return [
    ...sorted.filter(engine => !isLimited(engine)),
    ...sorted.filter(isLimited),
  ];
};

/**
 * Selects up to `count` decode engines with the lowest load that have no request
 * limit. Each data centre keeps at least one engine, so that it still works when it
 * is partitioned from the others.
 */
export const selectSpareDecodeEngines = (
  decodeEngines: readonly EngineView[],
  count: number,
): readonly EngineView[] => {
  const remainingByDataCenter = countEnginesByDataCenter(decodeEngines);
  const selected: EngineView[] = [];
  for (const engine of sortByLoad(decodeEngines)) {
    const remainingCount =
      (remainingByDataCenter.get(engine.dataCenter) ?? 0) - 1;
    if (isLimited(engine) || remainingCount < 1 || selected.length >= count)
      continue;
    remainingByDataCenter.set(engine.dataCenter, remainingCount);
    selected.push(engine);
  }
  return selected;
};

/**
 * Finds a prefill engine to move to decode, in a data centre that has several
 * prefill engines but no decode engine.
 */
export const findEngineForMissingDecode = (
  prefillEngines: readonly EngineView[],
  decodeEngines: readonly EngineView[],
): EngineView | undefined => {
  const decodeCounts = countEnginesByDataCenter(decodeEngines);
  const prefillCounts = countEnginesByDataCenter(prefillEngines);
  return sortByLoad(prefillEngines).find(
    ({ dataCenter }) =>
      !decodeCounts.has(dataCenter) && (prefillCounts.get(dataCenter) ?? 0) > 1,
  );
};

/**
 * Finds a limited prefill engine that can take the place of its data centre's decode
 * engine, so that this one becomes free to prefill; the list has at most one engine.
 */
export const findDecodeReplacement = (
  prefillEngines: readonly EngineView[],
  decodeEngines: readonly EngineView[],
): readonly EngineView[] => {
  const unlimited = decodeEngines.filter(engine => !isLimited(engine));
  const dataCenters = new Set(unlimited.map(({ dataCenter }) => dataCenter));
  return sortByLoad(prefillEngines)
    .filter(engine => isLimited(engine) && dataCenters.has(engine.dataCenter))
    .slice(0, 1);
};

const countEnginesByDataCenter = (
  engines: readonly EngineView[],
): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { dataCenter } of engines) {
    counts.set(dataCenter, (counts.get(dataCenter) ?? 0) + 1);
  }
  return counts;
};
