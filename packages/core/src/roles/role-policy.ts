/**
 * Interface of role policies, which decide which engines prefill, decode or do
 * both.
 */
import type { EngineRole } from '../target/target.js';

/** State of an engine as reported `ageMs` milliseconds ago. */
export interface EngineView {
  readonly name: string;
  readonly dataCenter: string;
  readonly role: EngineRole;
  /**
   * False while the engine changes its role, loads weights or leaves the fleet.
   */
  readonly available: boolean;
  readonly ageMs: number;
  /** Number of prompt tokens that wait for prefill. */
  readonly prefillTokens: number;
  /** Number of running requests. */
  readonly running: number;
  /** Number of requests that the engine can run at once. */
  readonly slots: number;
  /**
   * Capacity relative to that of other engines, from 0 to 1; below 1 for an engine
   * that takes fewer requests than it could serve. Absent for a whole one.
   */
  readonly capacityShare?: number;
  /** Milliseconds since the last role change of the engine ended. */
  readonly inRoleMs: number;
}

/** Recent demand in one data centre, measured `ageMs` milliseconds ago. */
export interface DemandView {
  readonly dataCenter: string;
  /** Uncached prompt tokens of the arriving requests, per second. */
  readonly prefillRate: number;
  /** Estimated output tokens of the arriving requests, per second. */
  readonly decodeRate: number;
  /** Number of arriving requests per second. */
  readonly requestRate: number;
  readonly ageMs: number;
}

/** Input of a decision; `nowMs` is the current time in epoch milliseconds. */
export interface FleetView {
  readonly nowMs: number;
  readonly engines: readonly EngineView[];
  readonly demand: readonly DemandView[];
}

/**
 * A role change that the policy decided; `reason` explains it and states the
 * values that were compared, if there are any.
 */
export interface RoleChange {
  readonly engine: string;
  readonly from: EngineRole;
  readonly to: EngineRole;
  readonly reason: string;
}

/** Result of one decision. */
export interface RoleDecision {
  readonly changes: readonly RoleChange[];
  /** Why no other engine changes its role, with the figures of the decision. */
  readonly explanation: string;
}

/** Decides about role changes from a view of the fleet. */
export abstract class RolePolicy {
  abstract readonly name: string;
  abstract decideChanges(view: FleetView): RoleDecision;
}
