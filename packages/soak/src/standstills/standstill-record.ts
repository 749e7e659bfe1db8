/** What a run with standstills records for its judgement. Times are of the shared clock. */
import type { Standstill, TargetRun } from '@medlarlever/platform/stand-ins';

/** Kinds of requests, by the prefix of their route. */
export type StandstillKind = 'read' | 'book' | 'ask' | 'tell';

/** Kinds that may run more than once. */
export const repeatableKinds: ReadonlySet<StandstillKind> = new Set([
  'read',
  'ask',
]);

/** Kinds whose answers are streams. */
export const streamKinds: ReadonlySet<StandstillKind> = new Set([
  'ask',
  'tell',
]);

/** An attempt as its caller saw it. */
export interface CallerAttempt {
  readonly attempt: string;
  readonly kind: StandstillKind;
  readonly instance: string;
  /** How the request was sent, for the report. */
  readonly manner: 'kept' | 'new' | 'in parts' | 'opened early';
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Time that the caller and the route's shortest timeout leave. */
  readonly deadlineMs: number;
  /** 0 if no answer arrived. */
  readonly status: number;
  /** Empty for an answer of the instance itself. */
  readonly seal: string;
  readonly isWhole: boolean;
  readonly reason: string;
}

/** Times at which a process stood still, by its name. */
export type StandstillsByName = ReadonlyMap<string, readonly Standstill[]>;

export interface StandstillRecord {
  readonly attempts: readonly CallerAttempt[];
  readonly runs: readonly TargetRun[];
  readonly instanceStandstills: StandstillsByName;
  readonly targetStandstills: StandstillsByName;
}
