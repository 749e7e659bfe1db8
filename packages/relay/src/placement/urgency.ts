/** Computes the urgency of a generation for the admission of an engine. */

/** Urgency levels of the engines, from 0 for the most urgent. */
const maxUrgency = 9;

/**
 * Levels of each route rank. Within a rank, prompts with less to prefill are more
 * urgent: a long prefill delays all prompts behind it, a short one hardly any.
 */
const levelsPerRank = 3;

/**
 * Largest shares of the latency target that a prefill takes at the first and the
 * second level of its rank.
 */
const shortPrefillShare = 0.08;
const mediumPrefillShare = 0.25;

/**
 * Share of the latency target within which a request must be expected to count as in time.
 * Queues grow up to this bound in an overload, and estimates err on both sides.
 */
const inTimeShare = 0.75;

/** Rank and work of a generation. */
export interface UrgencyOptions {
  /** Rank of the route; 0 is the highest. */
  readonly rank: number;
  /** Time that an idle engine takes for the prompt tokens it must compute. */
  readonly prefillMs: number;
  /** The same for all tokens of the prompt, which an engine reads again after a preemption. */
  readonly promptMs: number;
  /** Time to the first event that the route aims for. */
  readonly latencyTargetMs: number;
  /** Expected time from the arrival of the request to its first event. */
  readonly expectedLatencyMs: number;
}

/** Level in its rank of a short prompt that will be late, beside the longest ones. */
const lateLevel = levelsPerRank - 1;

/**
 * True if the request goes behind the others of its rank: a short prompt whose first event is
 * expected too late for the latency target.
 */
export const goesBehind = ({
  promptMs,
  expectedLatencyMs,
  latencyTargetMs,
}: UrgencyOptions): boolean =>
  promptMs <= shortPrefillShare * latencyTargetMs &&
  expectedLatencyMs > inTimeShare * latencyTargetMs;

const computeLevelInRank = (options: UrgencyOptions): number => {
  if (goesBehind(options)) return lateLevel;
  const prefillShare = options.prefillMs / options.latencyTargetMs;
  if (prefillShare <= shortPrefillShare) return 0;
  return prefillShare <= mediumPrefillShare ? 1 : 2;
};

/**
 * Returns the urgency level, from 0 (most urgent) to 9. While more short prompts come than
 * can be in time, those that will be late go behind the others: in the order of arrival, all
 * would be late. Longer ones wait long as it is, so that their callers would leave, and a
 * preemption has an engine read them again.
 */
export const computeUrgency = (options: UrgencyOptions): number => {
  const { rank } = options;
  const levelInRank = computeLevelInRank(options);
  return Math.min(maxUrgency, rank * levelsPerRank + levelInRank);
};
