/** Tells when an incarnation of a target was last heard of. */
import { getStartMs } from '../targets/target-record.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import type { TargetCrash } from './target-crash.js';

/**
 * Returns the time in milliseconds since an answer of the incarnation last arrived here;
 * undefined if the incarnation is not registered.
 */
export const findAnswerAgeMs = (
  targets: TargetRegistry,
  { target, startedAtMs }: Pick<TargetCrash, 'target' | 'startedAtMs'>,
): number | undefined => {
  const state = targets.findTarget(target);
  if (state === undefined || getStartMs(state.record) !== startedAtMs)
    return undefined;
  return state.msSinceLastAnswer;
};
