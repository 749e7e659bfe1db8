/** How long a stream may go without a whole event before it counts as stalled. */
import type { Route } from '../routes/route-configuration.js';

/**
 * Shortest silence after which a stream is given up: several times the longest gap
 * between events that callers accept.
 */
export const minStreamStallTimeoutMs = 1_600;

/**
 * Gaps that a stream may take for one event. Engines that decode full batches take
 * several times the gap that the route aims for, and are sound.
 */
const maxGapsPerEvent = 10;

/** Returns the time; undefined if the route states no gap between events. */
export const computeEventStallMs = ({
  kind,
  eventGapMs,
}: Route): number | undefined =>
  kind !== 'stream' || eventGapMs === undefined
    ? undefined
    : Math.max(minStreamStallTimeoutMs, maxGapsPerEvent * eventGapMs);
