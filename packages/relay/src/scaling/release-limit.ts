/** Limits how many targets are given back at once. */
import { sumKinds } from './capacity-plan.js';
import type { CountsByDataCenter } from './capacity-plan.js';

/**
 * Most targets that are given back at once, as a fraction of the open ones. The
 * platform chooses them, and may choose those that prefill; these are busy for
 * half of their time, so three quarters of them keep up.
 */
const maxReleasedFraction = 0.25;

/** Part of the surplus that is given back at once; the demand then shows the effect. */
const releasedSurplusFraction = 0.5;

/** Surplus that is given back in one step, as smaller steps would save little. */
const smallSurplusCount = 3;

/**
 * Returns the first part of the surplus, which lists a data centre once for each
 * target.
 */
export const limitRelease = (
  surplus: readonly string[],
  open: CountsByDataCenter,
): readonly string[] => {
  const openCount = [...open.values()].reduce(
    (sum, counts) => sum + sumKinds(counts),
    0,
  );
  const count = Math.min(
    Math.max(
      smallSurplusCount,
      Math.ceil(releasedSurplusFraction * surplus.length),
    ),
    Math.max(1, Math.floor(maxReleasedFraction * openCount)),
  );
  return surplus.slice(0, count);
};
