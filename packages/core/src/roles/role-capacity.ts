/** Predicts how much demand a set of engine roles can carry. */
import type { EngineSpeed } from '../routing/cost-model.js';
import type { EngineRole } from '../target/target.js';

import type { EngineView } from './role-policy.js';

/** Bound on the time between two tokens of an answer. */
const maxTokenGapMs = 57;

/** Engines of one data centre by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Demand as engine seconds a second. */
export interface EngineDemand {
  readonly prefill: number;
  readonly decode: number;
}

/** Prefill engines have no token gap to keep, only a queue to bound. */
const maxPrefillUtilisation = 0.9;

/** Price of prefill in steps that also decode. */
const prefillInterferenceFactor = 1.15;

const msPerSecond = 1_000;

/** Converts token rates into engine seconds a second. */
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

/** True when an engine is left that can prefill and decode. */
export const canServeBothRoles = (counts: RoleCounts): boolean =>
  counts.mixed + counts.decode > 0;

/**
 * How many times the demand the engines can carry within the latency bounds.
 *
 * An engine that decodes keeps the token gap while its busy share stays below
 * `1 - decode_step_ms / tokenGapMs`. Prefill engines take what prompts they
 * can; the others take the rest beside all decoding, at a price.
 */
export const computeLoadFactor = (
  counts: RoleCounts,
  work: EngineDemand,
  speed: EngineSpeed,
): number => {
  const busyShare = Math.max(0, 1 - speed.decode_step_ms / maxTokenGapMs);
  const prefill = maxPrefillUtilisation * counts.prefill;
  const others = busyShare * (counts.mixed + counts.decode);
  if (work.prefill + work.decode <= 0) return Infinity;
  const decodeOnly = work.decode > 0 ? others / work.decode : Infinity;
  if (decodeOnly * work.prefill <= prefill) return decodeOnly;
  return (
    (others + prefillInterferenceFactor * prefill) /
    (work.decode + prefillInterferenceFactor * work.prefill)
  );
};

/** Share of the answers that come too late at full utilisation. */
const lateShareAtFullUtilisation = 0.2;

/** Service times that a request can wait before it comes too late. */
const slackServiceTimes = 6;

/**
 * Share of the answers that come in time at a load factor: bursts make some
 * late before the engines are full, as in a queue with random arrivals.
 */
export const computeServedShare = (factor: number): number => {
  const utilisation = Math.min(1, 1 / factor);
  const late =
    lateShareAtFullUtilisation *
    utilisation *
    Math.exp(-slackServiceTimes * (1 - utilisation));
  return Math.min(1, factor) * (1 - late);
};
