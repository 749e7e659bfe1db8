/** Selects the engines that change their role, by load and data centre. */
import type { EngineView } from '@medlarlever/core';

/** Returns the engines in ascending order of their load. */
export const sortByLoad = (
  engines: readonly EngineView[],
): readonly EngineView[] =>
  [...engines].sort(
    (a, b) => a.running + a.prefillTokens - b.running - b.prefillTokens,
  );

/**
 * Selects up to `count` decode engines with the lowest load. Each data centre
 * keeps at least one, so that it still works when it is partitioned from the
 * others.
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
    if (remainingCount < 1 || selected.length >= count) continue;
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

const countEnginesByDataCenter = (
  engines: readonly EngineView[],
): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { dataCenter } of engines) {
    counts.set(dataCenter, (counts.get(dataCenter) ?? 0) + 1);
  }
  return counts;
};
