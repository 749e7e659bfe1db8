/** Judges a run with standstills by the logs of targets and callers alone. */
import type { TargetRun } from '@medlarlever/platform/stand-ins';

import { groupBy, refusalStatuses } from '../checks/check.js';

import { repeatableKinds, streamKinds } from './standstill-record.js';
import type {
  CallerAttempt,
  StandstillRecord,
  StandstillsByName,
} from './standstill-record.js';

/** Names of the rules. */
export type StandstillRule =
  'TWICE' | 'TWICE while at work' | 'TWICE on waking' | 'REFUSED' | 'LOST';

/** A broken rule. */
export interface StandstillCase {
  readonly rule: StandstillRule;
  readonly attempt: CallerAttempt;
  readonly text: string;
  /** True if the instance was made to stand still shortly before the end of the attempt. */
  readonly isInstanceHeld: boolean;
}

/** A stream may go on elsewhere if the run before ends this long after, at the latest. */
const maxOverlapMs = 400;

/** An answer that ends later than this share of the time is not counted as cut. */
const cutShare = 0.7;

/** An instance counts as disturbed until this long after a standstill. */
const stabilityMs = 5_000;

interface Finding {
  readonly rule: StandstillRule;
  readonly text: string;
}

/** Returns all cases, in order of the attempts. */
export const judgeStandstills = (
  record: StandstillRecord,
): StandstillCase[] => {
  const runsByAttempt = groupBy(record.runs, ({ attempt }) => attempt);
  return record.attempts.flatMap(attempt => {
    const runs = runsByAttempt.get(attempt.attempt) ?? [];
    const isInstanceHeld = wasHeld(record.instanceStandstills, attempt);
    return [
      ...findSecondRuns(attempt, runs),
      ...findOverlaps(attempt, runs),
      ...findFalseRefusals(attempt, runs),
      ...findCutAnswers(attempt, runs),
    ].map(finding => ({ ...finding, attempt, isInstanceHeld }));
  });
};

const findSecondRuns = (
  { kind }: CallerAttempt,
  runs: readonly TargetRun[],
): Finding[] => {
  if (repeatableKinds.has(kind) || runs.length < 2) return [];
  return [{ rule: 'TWICE', text: describeRuns(runs) }];
};

/**
 * Finds runs that begin while one before them is still at work for a while. A run without
 * events may be one that waited in the socket of a silent target, which began it on waking.
 */
const findOverlaps = (
  { kind }: CallerAttempt,
  runs: readonly TargetRun[],
): Finding[] => {
  if (!streamKinds.has(kind)) return [];
  return runs.slice(1).flatMap((next, i): Finding[] => {
    const endsMs = runs.slice(0, i + 1).map(({ endedAtMs }) => endedAtMs);
    if (Math.max(...endsMs) - next.startedAtMs <= maxOverlapMs) return [];
    const rule =
      next.eventCount > 0 ? 'TWICE while at work' : 'TWICE on waking';
    return [{ rule, text: describeRuns(runs) }];
  });
};

const findFalseRefusals = (
  { kind, status }: CallerAttempt,
  runs: readonly TargetRun[],
): Finding[] => {
  const isFinal = repeatableKinds.has(kind) || !refusalStatuses.has(status);
  if (isFinal || runs.length === 0) return [];
  return [{ rule: 'REFUSED', text: `${status}, ${describeRuns(runs)}` }];
};

const findCutAnswers = (
  { isWhole, status, sentAtMs, endedAtMs, deadlineMs, reason }: CallerAttempt,
  runs: readonly TargetRun[],
): Finding[] => {
  const isCut = status === 0 || !isWhole;
  const elapsedMs = endedAtMs - sentAtMs;
  if (!isCut || runs.length === 0 || elapsedMs > cutShare * deadlineMs)
    return [];
  const text = `after ${Math.round(elapsedMs)} ms, ${reason}, ${describeRuns(runs)}`;
  return [{ rule: 'LOST', text }];
};

const describeRuns = (runs: readonly TargetRun[]): string => {
  const firstMs = runs[0]?.startedAtMs ?? 0;
  return runs
    .map(
      ({ target, startedAtMs, endedAtMs, eventCount, isComplete }) =>
        `${target} +${Math.round(startedAtMs - firstMs)}..${Math.round(endedAtMs - firstMs)} ms (${eventCount} events${isComplete ? ', complete' : ''})`,
    )
    .join('; ');
};

const wasHeld = (
  standstills: StandstillsByName,
  { instance, sentAtMs, endedAtMs }: CallerAttempt,
): boolean =>
  (standstills.get(instance) ?? []).some(
    ({ fromMs, toMs }) => fromMs < endedAtMs && toMs > sentAtMs - stabilityMs,
  );
