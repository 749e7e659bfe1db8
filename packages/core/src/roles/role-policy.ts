/** Decides which engines prefill, decode or do both. */
import type { EngineRole } from '../target/target.js';

/** What is known of an engine, `ageMs` ago. */
export interface EngineView {
  readonly name: string;
  readonly dataCenter: string;
  readonly role: EngineRole;
  /** False while it changes role, loads weights or leaves. */
  readonly available: boolean;
  readonly ageMs: number;
  /** Prompt tokens waiting for prefill. */
  readonly prefillTokens: number;
  readonly running: number;
  readonly slots: number;
  /** Time since the last role change ended. */
  readonly inRoleMs: number;
}

/** Demand of the last moments in one data centre. */
export interface DemandView {
  readonly dataCenter: string;
  /** Uncached prompt tokens that arrived, per second. */
  readonly prefillRate: number;
  /** Output tokens asked for, per second. */
  readonly decodeRate: number;
  /** Requests that arrived, per second. */
  readonly requestRate: number;
  readonly ageMs: number;
}

/** Everything a decision rests on. */
export interface FleetView {
  readonly nowMs: number;
  readonly engines: readonly EngineView[];
  readonly demand: readonly DemandView[];
}

/** One change that the policy wants, with its figures. */
export interface RoleChange {
  readonly engine: string;
  readonly from: EngineRole;
  readonly to: EngineRole;
  readonly reason: string;
}

/** Outcome of one decision. */
export interface RoleDecision {
  readonly changes: readonly RoleChange[];
  /** Why nothing (else) was changed, and the figures behind it. */
  readonly explanation: string;
}

export abstract class RolePolicy {
  abstract readonly name: string;
  abstract decideChanges(view: FleetView): RoleDecision;
}
