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

/** Rank and work of a generation. */
export interface UrgencyOptions {
  /** Rank of the route; 0 is the highest. */
  readonly rank: number;
  /** Time that an idle engine takes for the prompt tokens it must compute. */
  readonly prefillMs: number;
  /** Time to the first event that the route aims for. */
  readonly latencyTargetMs: number;
}

const computeLevelInRank = (prefillShare: number): number => {
  if (prefillShare <= shortPrefillShare) return 0;
  return prefillShare <= mediumPrefillShare ? 1 : 2;
};

/** Returns the urgency level, from 0 (most urgent) to 9. */
export const computeUrgency = ({
  rank,
  prefillMs,
  latencyTargetMs,
}: UrgencyOptions): number => {
  const levelInRank = computeLevelInRank(prefillMs / latencyTargetMs);
  return Math.min(maxUrgency, rank * levelsPerRank + levelInRank);
};
