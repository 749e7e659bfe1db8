/** Predicts how much demand a set of engine roles can carry. */
import type { RoutingSpeed } from '../routing/cost-model.js';
import type { Role } from '../target/target.js';

import type { EngineView } from './role-policy.js';

/** Bound on the time between two tokens of an answer. */
const tokenGapMs = 57;

/** Engines of one data centre by role. */
export type RoleCounts = Readonly<Record<Role, number>>;

/** Demand as engine seconds a second. */
export interface RoleWork {
  readonly prefill: number;
  readonly decode: number;
}

/** Prefill engines have no token gap to keep, only a queue to bound. */
const prefillUtilisation = 0.9;

/** Price of prefill in steps that also decode. */
const interference = 1.15;

const msPerSecond = 1_000;

/** Converts token rates into engine seconds a second. */
export const workOf = (
  rates: { readonly prefillRate: number; readonly decodeRate: number },
  speed: RoutingSpeed,
): RoleWork => ({
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
export const servesBothRoles = (counts: RoleCounts): boolean =>
  counts.mixed + counts.decode > 0;

/**
 * How many times the demand the engines can carry within the latency bounds.
 *
 * An engine that decodes keeps the token gap while its busy share stays below
 * `1 - decode_step_ms / tokenGapMs`. Prefill engines take what prompts they
 * can; the others take the rest beside all decoding, at a price.
 */
export const loadFactor = (
  counts: RoleCounts,
  work: RoleWork,
  speed: RoutingSpeed,
): number => {
  const busyShare = Math.max(0, 1 - speed.decode_step_ms / tokenGapMs);
  const prefill = prefillUtilisation * counts.prefill;
  const others = busyShare * (counts.mixed + counts.decode);
  if (work.prefill + work.decode <= 0) return Infinity;
  const decodeOnly = work.decode > 0 ? others / work.decode : Infinity;
  if (decodeOnly * work.prefill <= prefill) return decodeOnly;
  return (
    (others + interference * prefill) /
    (work.decode + interference * work.prefill)
  );
};

/** Share of the answers that come too late at full utilisation. */
const lateShareWhenFull = 0.2;

/** Service times that a request can wait before it comes too late. */
const slackServiceTimes = 6;

/**
 * Share of the answers that come in time at a load factor: bursts make some
 * late before the engines are full, as in a queue with random arrivals.
 */
export const servedShare = (factor: number): number => {
  const utilisation = Math.min(1, 1 / factor);
  const late =
    lateShareWhenFull *
    utilisation *
    Math.exp(-slackServiceTimes * (1 - utilisation));
  return Math.min(1, factor) * (1 - late);
};
