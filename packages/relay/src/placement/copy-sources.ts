/** Engines from which cached prompt segments can be copied. */
import type { TargetState } from '../targets/target-state.js';

import type { PlacementOptions } from './placement-options.js';
import { filterUsableTargets, findCheapest } from './target-filters.js';

/** Fewer cached tokens are faster to prefill than to copy from another engine. */
const minCopiedTokens = 512;

/** An engine from which parts of the prompt can be copied. */
export interface CopySource {
  readonly engine: TargetState;
  readonly copyableTokens: number;
}

/** Lists the engines with enough copyable tokens of the prompt, once for a placement. */
export const listCopySources = (
  options: PlacementOptions,
): readonly CopySource[] => {
  const leavingTargets = options.leavingTargets.filter(
    ({ acceptsRequests }) => acceptsRequests,
  );
  return [...filterUsableTargets(options), ...leavingTargets]
    .map(engine => ({
      engine,
      copyableTokens: engine.prefixCache.countCopyableTokens(
        options.prompt.segments,
      ),
    }))
    .filter(({ copyableTokens }) => copyableTokens >= minCopiedTokens);
};

/**
 * Returns the engine with the most copyable prompt tokens that the target lacks,
 * if there are enough for a copy. Engines in the target's data centre win ties.
 */
export const findCopySource = (
  target: TargetState,
  sources: readonly CopySource[],
  { prompt }: PlacementOptions,
): CopySource | undefined => {
  if (sources.length === 0) return undefined;
  const targetTokens = target.prefixCache.countCachedTokens(prompt.segments);
  const candidates = sources
    .filter(
      ({ engine, copyableTokens }) =>
        engine !== target && copyableTokens - targetTokens >= minCopiedTokens,
    )
    .map(source => {
      const isRemote =
        source.engine.record.dataCenter !== target.record.dataCenter;
      return { source, cost: (isRemote ? 1 : 0) - source.copyableTokens };
    });
  return findCheapest(candidates)?.source;
};
