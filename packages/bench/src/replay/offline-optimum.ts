/** The best fixed split with the trace known in advance. */
import type { RoleSplit } from '@medlarlever/core';

import { computeFigures } from './figures.js';
import type { ReplayFigures } from './figures.js';
import { createStaticPolicySetup } from './policies.js';
import { replayTrace } from './replay.js';
import type { ReplayOptions } from './replay.js';
import type { Trace } from './trace.js';

/** A split by the share of engines that prefill and the role of the rest. */
interface SplitRule {
  readonly prefillShare: number;
  readonly restRole: 'mixed' | 'decode';
}

const splitRules: readonly SplitRule[] = [
  { prefillShare: 0, restRole: 'mixed' },
  { prefillShare: 0.25, restRole: 'mixed' },
  { prefillShare: 0.25, restRole: 'decode' },
  { prefillShare: 0.5, restRole: 'mixed' },
  { prefillShare: 0.5, restRole: 'decode' },
];

const createSplitFunction =
  ({ prefillShare: share, restRole: rest }: SplitRule) =>
  (engines: number): RoleSplit => {
    const prefill = Math.floor(engines * share);
    return { prefill, decode: rest === 'decode' ? engines - prefill : 0 };
  };

/** Replays the trace once for each split and returns the best figures. */
export const findBestFixedSplit = async (
  trace: Trace,
  options: Omit<ReplayOptions, 'policySetup'>,
): Promise<ReplayFigures> => {
  let best: ReplayFigures | undefined;
  for (const shape of splitRules) {
    const contender = createStaticPolicySetup(createSplitFunction(shape));
    const figures = computeFigures(
      await replayTrace(trace, { ...options, policySetup: contender }),
    );
    if (best === undefined || figures.goodput > best.goodput) best = figures;
  }
  if (best === undefined) throw new Error('there is no plan to try');
  return { ...best, policy: 'best fixed plan' };
};
