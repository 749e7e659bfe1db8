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
 * Gaps for which a target may send parts of one event before the stream is ended. Engines
 * with full batches may take several gaps for one event, and the answer would be lost.
 */
const maxGapsPerEvent = 10;

/** Pauses between two parts of an event count up to this; a longer one is silence. */
const maxPartPauseMs = 500;

const computeStallMs = (
  { kind, eventGapMs }: Route,
  maxGaps: number,
): number | undefined =>
  kind !== 'stream' || eventGapMs === undefined
    ? undefined
    : Math.max(minStreamStallTimeoutMs, maxGaps * eventGapMs);

/**
 * Returns the time without an event after which a stream is moved; undefined if the route
 * states no gap between events.
 */
export const computeEventStallMs = (route: Route): number | undefined =>
  computeStallMs(route, maxGapsBeforeMove);

/**
 * Returns the time that the parts of one event may take; undefined if the route states no
 * gap between events.
 */
export const computeMaxEventMs = (route: Route): number | undefined =>
  computeStallMs(route, maxGapsPerEvent);

/** Measures for how long a target sends parts of an event without completing it. */
export class EventPartClock {
  #sendingMs = 0;
  #lastPartAtMs: number | undefined;

  /** Records a part that completes no event; returns the time since the first one. */
  recordPart(): number {
    const nowMs = performance.now();
    const pauseMs = nowMs - (this.#lastPartAtMs ?? nowMs);
    this.#lastPartAtMs = nowMs;
    this.#sendingMs += Math.min(pauseMs, maxPartPauseMs);
    return this.#sendingMs;
  }

  /** Records a whole event. */
  recordEvent(): void {
    this.#sendingMs = 0;
    this.#lastPartAtMs = undefined;
  }
}
