/** Predicts how much demand a set of engine roles can carry. */
import type { Role } from '../target/target.js';

import type { EngineView } from './role-policy.js';

/** How fast one engine of the deployment works. */
export interface EngineSpeed {
  /** Tokens a second of an engine that only prefills. */
  readonly prefillTokensPerSecond: number;
  /** Fixed part of the time of one decode step. */
  readonly decodeStepMs: number;
  /** Part of a decode step that each running sequence adds. */
  readonly decodeSequenceMs: number;
  /** Bound on the time between two tokens of an answer. */
  readonly tokenGapMs: number;
}

/** Engines of one data centre by role. */
export type RoleCounts = Readonly<Record<Role, number>>;

/** Demand as engine seconds a second. */
export interface Work {
  readonly prefill: number;
  readonly decode: number;
}

/** Prefill engines have no token gap to keep, only a queue to bound. */
const prefillUtilisation = 0.9;

const msPerSecond = 1_000;

/** Converts token rates into engine seconds a second. */
export const workOf = (
  rates: { readonly prefillRate: number; readonly decodeRate: number },
  speed: EngineSpeed,
): Work => ({
  prefill: rates.prefillRate / speed.prefillTokensPerSecond,
  decode: (rates.decodeRate * speed.decodeSequenceMs) / msPerSecond,
});

/** Counts the available engines by role. */
export const countRoles = (engines: readonly EngineView[]): RoleCounts => {
  const counts = { mixed: 0, prefill: 0, decode: 0 };
  for (const engine of engines) {
    if (engine.available) counts[engine.role] += 1;
  }
  return counts;
};

/** True when both prefill and decode have an engine. */
export const servesBothRoles = (counts: RoleCounts): boolean =>
  counts.mixed + counts.prefill > 0 && counts.mixed + counts.decode > 0;

const ratio = (capacity: number, work: number) =>
  work <= 0 ? Infinity : capacity / work;

/**
 * How many times the demand the engines can carry within the latency bounds.
 *
 * An engine that decodes keeps the token gap while its busy share stays below
 * `1 - decodeStepMs / tokenGapMs`. Mixed engines take what the specialised
 * ones cannot, so the smallest of the three ratios bounds the whole.
 */
export const loadFactor = (
  counts: RoleCounts,
  work: Work,
  speed: EngineSpeed,
): number => {
  const decodeUtilisation = Math.max(
    0,
    1 - speed.decodeStepMs / speed.tokenGapMs,
  );
  const prefill = prefillUtilisation * counts.prefill;
  const decode = decodeUtilisation * counts.decode;
  const mixed = decodeUtilisation * counts.mixed;
  return Math.min(
    ratio(prefill + mixed, work.prefill),
    ratio(decode + mixed, work.decode),
    ratio(prefill + decode + mixed, work.prefill + work.decode),
  );
};
