/** Finds out whether a target can notice that its requests have been given up. */
import type { TargetState } from './target-state.js';

/**
 * Result of a probe on a new connection.
 * - `answers`: the target answers.
 * - `resets`: the connection was opened and broke; the target may have too many.
 * - `silent`: it was opened, but no answer came, as from a process that stands still.
 * - `no_connection`: it was not opened in time.
 * - `gone`: nothing, or another target, is at the address.
 * - `unknown`: no probe was made.
 */
export type ProbeResult =
  'answers' | 'resets' | 'silent' | 'no_connection' | 'gone' | 'unknown';

/** Probes a target; never rejects. */
export type TargetProbe = (target: TargetState) => Promise<ProbeResult>;

/**
 * A sound target may stand still for a second or so, and longer on a busy machine. Only
 * after this time does a silent target that is reached count as lost.
 */
export const maxStandstillMs = 3_000;
