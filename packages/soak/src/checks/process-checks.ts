/** Configuration, planned stops, recovery and the processes themselves. */
import type { Arrival } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';
import {
  shutdownGraceSeconds,
  movingRoutePrefix,
  requestTimeoutMs,
} from '../run/configuration.js';
import { recoveryMs } from '../run/soak-run.js';

import { groupBy, isUndisturbed, settlingMs } from './check.js';
import type { Check, Violation } from './check.js';

/** Time after its acknowledgement in which a configuration is in force. */
const configurationDelayMs = 3_000;

/** Time after which what a later version showed may not be undone. */
const rollbackToleranceMs = 250;

/** Newest version that the run of a request fits, by its service. */
const findNewestVersion = (evidence: RunRecord, run: Arrival): number =>
  evidence.configurations
    .filter(({ service, atMs }) => service === run.service && atMs <= run.atMs)
    .reduce((newest, { version }) => Math.max(newest, version), 0);

const listMovingRouteExecutions = (evidence: RunRecord) => {
  const attempts = new Map(evidence.attempts.map(one => [one.id, one]));
  return evidence.arrivals.flatMap(run => {
    const sent = attempts.get(run.attempt);
    if (!run.ran || !run.path.startsWith(movingRoutePrefix)) return [];
    return sent === undefined ? [] : [{ run, sent }];
  });
};

export const checkConfigurationInForce: Check = evidence =>
  listMovingRouteExecutions(evidence).flatMap(({ run, sent }): Violation[] => {
    const due = evidence.configurations
      .filter(({ atMs }) => atMs + configurationDelayMs < sent.sentAtMs)
      .at(-1);
    if (due === undefined || findNewestVersion(evidence, run) >= due.version)
      return [];
    const calm = isUndisturbed(evidence, sent.instance, due.atMs, run.atMs);
    if (!calm) return [];
    const seen = `${run.attempt} ran at ${run.service} under version ${due.version}`;
    return [{ promise: 'a configuration is in force within its time', seen }];
  });

export const checkNoConfigurationRollback: Check = evidence => {
  const lives = groupBy(
    listMovingRouteExecutions(evidence),
    ({ sent }) => `${sent.instance} ${sent.life}`,
  );
  return [...lives.values()].flatMap(runs => {
    const seen = [...runs].sort((a, b) => a.run.atMs - b.run.atMs);
    return seen.flatMap(({ run, sent }): Violation[] => {
      const newest = seen
        .filter(other => other.run.atMs + rollbackToleranceMs < sent.sentAtMs)
        .reduce((most, other) => {
          const oldest = findOldestVersion(evidence, other.run);
          return Math.max(most, oldest);
        }, 0);
      if (findNewestVersion(evidence, run) >= newest) return [];
      const told = `${run.attempt} ran at ${run.service} after version ${newest}`;
      return [
        { promise: 'no instance goes back to an older version', seen: told },
      ];
    });
  });
};

/** Oldest version that certainly was in force when the run was placed. */
const findOldestVersion = (evidence: RunRecord, run: Arrival): number => {
  const fitting = evidence.configurations.filter(
    ({ service, atMs }) => service === run.service && atMs <= run.atMs,
  );
  return fitting.length === 1 ? (fitting[0]?.version ?? 0) : 0;
};

/** Only own planned work was near, and the target did its part. */
const isLostByStop = (
  evidence: RunRecord,
  attempt: Attempt,
  arrivals: readonly Arrival[],
): boolean => {
  const { end, sentAtMs, endedAtMs, leftAtMs, instance } = attempt;
  const broken = end?.whole === false && leftAtMs === undefined;
  if (!broken || arrivals.length === 0) return false;
  if (arrivals.some(({ failed }) => failed)) return false;
  const stop = evidence.exits.find(
    exit =>
      exit.instance === instance &&
      exit.asked === 'SIGTERM' &&
      (exit.askedAtMs ?? 0) < (endedAtMs ?? 0) &&
      exit.atMs > sentAtMs,
  );
  return stop !== undefined && hasOnlyPlannedStops(evidence, attempt);
};

/** No fault but stops touched anything around the request. */
const hasOnlyPlannedStops = (evidence: RunRecord, attempt: Attempt): boolean =>
  evidence.faultLog.isFaultFreeExcept(
    'SIGTERM',
    attempt.sentAtMs - settlingMs,
    attempt.endedAtMs ?? Infinity,
  );

export const checkPlannedStops: Check = evidence => {
  const arrivals = groupBy(evidence.arrivals, ({ attempt }) => attempt);
  return evidence.attempts.flatMap((attempt): Violation[] => {
    const own = arrivals.get(attempt.id) ?? [];
    if (!isLostByStop(evidence, attempt, own)) return [];
    const seen = `${attempt.id} at ${attempt.instance}: ${attempt.end?.reason ?? ''}`;
    return [{ promise: 'a planned stop loses no request', seen }];
  });
};

/** Longest time from a stop signal to the end. */
const shutdownGraceMs = shutdownGraceSeconds * 1_000;

export const checkProcessExits: Check = ({ exits, faultLog: disturbances }) =>
  exits.flatMap((exit): Violation[] => {
    const seen = JSON.stringify(exit);
    if (exit.asked === undefined) {
      return [{ promise: 'no process ends by itself', seen }];
    }
    if (exit.asked === 'SIGKILL') return [];
    const askedMs = exit.askedAtMs ?? 0;
    const slow = exit.atMs - askedMs > shutdownGraceMs;
    const paused = !disturbances.isFaultFreeExcept(
      'SIGTERM',
      askedMs,
      exit.atMs,
    );
    if (exit.code === 0 && (!slow || paused)) return [];
    return [{ promise: 'a planned stop ends cleanly in its time', seen }];
  });

/** A longer stall makes callers and targets of the soak late themselves. */
const maxStallMs = 2_000;

export const checkMachineStalls: Check = ({ longestStallMs: stallMs }) => {
  if (stallMs <= maxStallMs) return [];
  const seen = `the soak stood still for ${Math.round(stallMs)} ms`;
  return [{ promise: 'the machine leaves a run that can be judged', seen }];
};

export const checkInstanceReadiness: Check = ({
  unreadyInstances: neverReady,
}) =>
  neverReady.map(instance => ({
    promise: 'a started instance gets ready',
    seen: instance,
  }));

/** Part of the requests that must be served again after the recovery. */
const minServedShare = 0.25;

export const checkRecovery: Check = ({
  attempts,
  faultFreeSinceMs: calmSinceMs,
}) => {
  const late = attempts.filter(
    ({ sentAtMs, endedAtMs, leftAtMs = Infinity }) =>
      sentAtMs > calmSinceMs + recoveryMs &&
      endedAtMs !== undefined &&
      leftAtMs >= sentAtMs + requestTimeoutMs,
  );
  const served = late.filter(({ end }) => end?.status === 200 && end.whole);
  if (late.length > 0 && served.length >= minServedShare * late.length)
    return [];
  const seen = `${served.length} of ${late.length} served`;
  return [{ promise: 'everything serves again after the last fault', seen }];
};
