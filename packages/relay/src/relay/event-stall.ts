/** How long a stream may go without a whole event before it counts as stalled. */
import type { Route } from '../routes/route-configuration.js';

/**
 * Shortest silence after which a stream is given up: several times the longest gap
 * between events that callers accept.
 */
export const minStreamStallTimeoutMs = 1_600;

/** Gaps without an event after which a stream is moved to another target. */
const maxGapsBeforeMove = 4;

/**
 * Gaps without an event after which a stream that cannot be moved is ended. Engines with
 * full batches may take several gaps for one event, and the answer would be lost.
 */
const maxGapsBeforeEnd = 10;

/** Returns the time; undefined if the route states no gap between events. */
export const computeEventStallMs = (
  { kind, eventGapMs }: Route,
  canMove: boolean,
): number | undefined => {
  if (kind !== 'stream' || eventGapMs === undefined) return undefined;
  const maxGaps = canMove ? maxGapsBeforeMove : maxGapsBeforeEnd;
  return Math.max(minStreamStallTimeoutMs, maxGaps * eventGapMs);
};
