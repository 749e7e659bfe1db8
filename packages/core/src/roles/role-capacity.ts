/** Predicts how much demand a set of engines with given roles can serve. */
import type { EngineSpeed } from '../routing/cost-model.js';
import type { EngineRole } from '../target/target.js';

import type { EngineView } from './role-policy.js';

/** Maximum time between two tokens of an answer. */
const maxTokenGapMs = 57;

/** Number of engines of one data centre by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Engine time that the demand needs, in seconds per second. */
export interface EngineDemand {
  readonly prefill: number;
  readonly decode: number;
}

/**
 * Maximum utilization of a prefill engine. Prefill engines generate no tokens,
 * so no inter-token latency limit applies; only the queueing delay limits their
 * utilization.
 */
const maxPrefillUtilisation = 0.9;

/** Slowdown of prefill in steps that also decode. */
const prefillInterferenceFactor = 1.15;

const msPerSecond = 1_000;

/** Converts token rates per second into engine time, in seconds per second. */
export const computeEngineDemand = (
  rates: { readonly prefillRate: number; readonly decodeRate: number },
  speed: EngineSpeed,
): EngineDemand => ({
  prefill: rates.prefillRate / speed.prefill_tokens_per_second,
  decode: (rates.decodeRate * speed.decode_step_request_ms) / msPerSecond,
});

/** Counts the available engines by role. */
export const countRoles = (engines: readonly EngineView[]): RoleCounts => {
  const counts = { mixed: 0, prefill: 0, decode: 0 };
  for (const engine of engines) {
    if (engine.available) counts[engine.role] += 1;
  }
  return counts;
};

/** Returns true if at least one engine can both prefill and decode. */
export const canServeBothRoles = (counts: RoleCounts): boolean =>
  counts.mixed + counts.decode > 0;

/**
 * Returns the factor by which the demand could grow before the engines exceed
 * the latency limits; a factor below 1 means overload. An engine that decodes
 * meets the limit on the time between tokens while its busy share stays below
 * `1 - decode_step_ms / maxTokenGapMs`. Prefill engines take as many prompts as
 * they can. The other engines take the remaining prompts in addition to all
 * decoding, with the slowdown `prefillInterferenceFactor`.
 */
export const computeLoadFactor = (
  counts: RoleCounts,
  demand: EngineDemand,
  speed: EngineSpeed,
): number => {
  const maxBusyShare = Math.max(0, 1 - speed.decode_step_ms / maxTokenGapMs);
  const prefillCapacity = maxPrefillUtilisation * counts.prefill;
  const otherCapacity = maxBusyShare * (counts.mixed + counts.decode);
  if (demand.prefill + demand.decode <= 0) return Infinity;
  const decodeOnlyFactor =
    demand.decode > 0 ? otherCapacity / demand.decode : Infinity;
  if (decodeOnlyFactor * demand.prefill <= prefillCapacity)
    return decodeOnlyFactor;
  return (
    (otherCapacity + prefillInterferenceFactor * prefillCapacity) /
    (demand.decode + prefillInterferenceFactor * demand.prefill)
  );
};

/** Fraction of the answers that are late at full utilization. */
const lateShareAtFullUtilisation = 0.2;

/**
 * Number of service times that a request can wait before its answer is late.
 */
const slackServiceTimes = 6;

/**
 * Returns the fraction of the answers that are in time at a load factor. Bursts
 * make some answers late before the engines are full, as in a queue with random
 * arrivals.
 */
export const computeServedShare = (loadFactor: number): number => {
  const utilisation = Math.min(1, 1 / loadFactor);
  const lateShare =
    lateShareAtFullUtilisation *
    utilisation *
    Math.exp(-slackServiceTimes * (1 - utilisation));
  return Math.min(1, loadFactor) * (1 - lateShare);
};
