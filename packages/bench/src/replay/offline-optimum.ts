/**
 * Finds the best constant role split of a trace by replaying the trace with
 * each candidate, an upper reference for policies that cannot see the future.
 */
import type { RoleSplit } from '@medlarlever/core';

import { computeFigures } from './figures.js';
import type { ReplayFigures } from './figures.js';
import { createStaticPolicySetup } from './policies.js';
import { replayTrace } from './replay.js';
import type { ReplayOptions } from './replay.js';
import type { Trace } from './trace.js';

/** Share of the engines that prefill, and the role of the other engines. */
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
  ({ prefillShare, restRole }: SplitRule) =>
  (engineCount: number): RoleSplit => {
    const prefillCount = Math.floor(engineCount * prefillShare);
    return {
      prefill: prefillCount,
      decode: restRole === 'decode' ? engineCount - prefillCount : 0,
    };
  };

/** Replays the trace once per split rule; returns the figures of best goodput. */
export const findBestFixedSplit = async (
  trace: Trace,
  options: Omit<ReplayOptions, 'policySetup'>,
): Promise<ReplayFigures> => {
  let best: ReplayFigures | undefined;
  for (const splitRule of splitRules) {
    const policySetup = createStaticPolicySetup(createSplitFunction(splitRule));
    const figures = computeFigures(
      await replayTrace(trace, { ...options, policySetup: policySetup }),
    );
    if (best === undefined || figures.goodput > best.goodput) best = figures;
  }
  if (best === undefined)
    throw new Error('splitRules is empty: add at least one split rule');
  return { ...best, policy: 'best fixed plan' };
};
