/** Finds out whether a target can notice that its requests have been given up. */
import type { TargetState } from './target-state.js';

/**
 * Result of a probe on a new connection: the target `answers`; it is `silent` though the
 * connection was opened, as a process that stands still is; or it is `unreached`.
 */
export type ProbeResult = 'answers' | 'silent' | 'unreached';

/** Probes a target; never rejects. */
export type TargetProbe = (target: TargetState) => Promise<ProbeResult>;

/**
 * A sound target may stand still for a second or so, and longer on a busy machine. Only
 * after this time does a silent target that is reached count as lost.
 */
export const maxStandstillMs = 3_000;
