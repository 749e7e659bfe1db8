/** The best fixed split with the trace known in advance. */
import type { RoleSplit } from '@medlarlever/core';

import { figuresOf } from './figures.js';
import type { ReplayFigures } from './figures.js';
import { createStaticContender } from './policies.js';
import { replay } from './replay.js';
import type { ReplayOptions } from './replay.js';
import type { Trace } from './trace.js';

/** A split by the share of engines that prefill and the role of the rest. */
interface PlanShape {
  readonly share: number;
  readonly rest: 'mixed' | 'decode';
}

const shapes: readonly PlanShape[] = [
  { share: 0, rest: 'mixed' },
  { share: 0.25, rest: 'mixed' },
  { share: 0.25, rest: 'decode' },
  { share: 0.5, rest: 'mixed' },
  { share: 0.5, rest: 'decode' },
];

const splitOf =
  ({ share, rest }: PlanShape) =>
  (engines: number): RoleSplit => {
    const prefill = Math.floor(engines * share);
    return { prefill, decode: rest === 'decode' ? engines - prefill : 0 };
  };

/** Replays the trace once for each split and returns the best figures. */
export const bestFixedPlan = async (
  trace: Trace,
  options: Omit<ReplayOptions, 'contender'>,
): Promise<ReplayFigures> => {
  let best: ReplayFigures | undefined;
  for (const shape of shapes) {
    const contender = createStaticContender(splitOf(shape));
    const figures = figuresOf(await replay(trace, { ...options, contender }));
    if (best === undefined || figures.goodput > best.goodput) best = figures;
  }
  if (best === undefined) throw new Error('there is no plan to try');
  return { ...best, policy: 'best fixed plan' };
};
