/**
 * Checks of configuration changes, planned stops, recovery and process exits.
 */
import type { Arrival } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';
import {
  shutdownGraceSeconds,
  movingRoutePrefix,
  requestTimeoutMs,
} from '../run/configuration.js';
import { recoveryMs } from '../run/soak-run.js';

import { groupBy, hasNoRecentFault, settlingMs } from './check.js';
import type { Check, Violation } from './check.js';

/**
 * Milliseconds from the write of a configuration to the time at which every
 * instance applies it.
 */
const configurationDelayMs = 3_000;

/**
 * Milliseconds after an execution under a newer configuration version during
 * which requests of the same instance may still run under an older one.
 */
const rollbackToleranceMs = 250;

/**
 * Returns the newest configuration version under which the execution could have
 * been routed to its service, or 0 if there is none.
 */
const findNewestVersion = (record: RunRecord, execution: Arrival): number =>
  record.configurations
    .filter(
      ({ service, atMs }) =>
        service === execution.service && atMs <= execution.atMs,
    )
    .reduce((newest, { version }) => Math.max(newest, version), 0);

const listMovingRouteExecutions = (record: RunRecord) => {
  const attempts = new Map(
    record.attempts.map(attempt => [attempt.id, attempt]),
  );
  return record.arrivals.flatMap(execution => {
    const attempt = attempts.get(execution.attempt);
    if (!execution.ran || !execution.path.startsWith(movingRoutePrefix))
      return [];
    return attempt === undefined ? [] : [{ execution, attempt }];
  });
};

/**
 * Checks that instances without faults apply a new configuration within
 * `configurationDelayMs` of its write.
 */
export const checkConfigurationInForce: Check = record =>
  listMovingRouteExecutions(record).flatMap(
    ({ execution, attempt }): Violation[] => {
      const dueConfiguration = record.configurations
        .filter(({ atMs }) => atMs + configurationDelayMs < attempt.sentAtMs)
        .at(-1);
      if (
        dueConfiguration === undefined ||
        findNewestVersion(record, execution) >= dueConfiguration.version
      )
        return [];
      const isFaultFree = hasNoRecentFault(
        record,
        attempt.instance,
        dueConfiguration.atMs,
        execution.atMs,
      );
      if (!isFaultFree) return [];
      const seen = `${execution.attempt} ran at ${execution.service} although version ${dueConfiguration.version} was due`;
      return [
        { promise: 'a configuration takes effect within the time limit', seen },
      ];
    },
  );

/**
 * Checks that an instance that routed a request by a configuration version does
 * not use an older version later in the same process lifetime.
 */
export const checkNoConfigurationRollback: Check = record => {
  const executionsByLife = groupBy(
    listMovingRouteExecutions(record),
    ({ attempt }) => `${attempt.instance} ${attempt.life}`,
  );
  return [...executionsByLife.values()].flatMap(executions => {
    const sortedExecutions = [...executions].sort(
      (a, b) => a.execution.atMs - b.execution.atMs,
    );
    return sortedExecutions.flatMap(({ execution, attempt }): Violation[] => {
      const newest = sortedExecutions
        .filter(
          other =>
            other.execution.atMs + rollbackToleranceMs < attempt.sentAtMs,
        )
        .reduce((newestVersion, other) => {
          const oldestVersion = findOldestVersion(record, other.execution);
          return Math.max(newestVersion, oldestVersion);
        }, 0);
      if (findNewestVersion(record, execution) >= newest) return [];
      const rollbackText = `${execution.attempt} ran at ${execution.service} after version ${newest}`;
      return [
        {
          promise: 'no instance returns to an older configuration version',
          seen: rollbackText,
        },
      ];
    });
  });
};

/**
 * Returns the configuration version under which the execution was routed, or 0
 * when several versions route to its service and the version is uncertain.
 */
const findOldestVersion = (record: RunRecord, execution: Arrival): number => {
  const candidates = record.configurations.filter(
    ({ service, atMs }) =>
      service === execution.service && atMs <= execution.atMs,
  );
  return candidates.length === 1 ? (candidates[0]?.version ?? 0) : 0;
};

/**
 * Whether a planned stop of the instance cut off the attempt, although the
 * caller stayed connected, the target did not fail and no fault was active.
 */
const isLostByStop = (
  record: RunRecord,
  attempt: Attempt,
  arrivals: readonly Arrival[],
): boolean => {
  const { end, sentAtMs, endedAtMs, leftAtMs, instance } = attempt;
  const wasCutOff = end?.whole === false && leftAtMs === undefined;
  if (!wasCutOff || arrivals.length === 0) return false;
  if (arrivals.some(({ failed }) => failed)) return false;
  const plannedStop = record.exits.find(
    exit =>
      exit.instance === instance &&
      exit.asked === 'SIGTERM' &&
      (exit.askedAtMs ?? 0) < (endedAtMs ?? 0) &&
      exit.atMs > sentAtMs,
  );
  return plannedStop !== undefined && hasOnlyPlannedStops(record, attempt);
};

/**
 * Whether planned stops were the only faults from `settlingMs` before the
 * attempt to its end.
 */
const hasOnlyPlannedStops = (record: RunRecord, attempt: Attempt): boolean =>
  record.faultLog.isFaultFreeExcept(
    'SIGTERM',
    attempt.sentAtMs - settlingMs,
    attempt.endedAtMs ?? Infinity,
  );

/**
 * Checks that a planned stop lets the accepted requests of the instance finish.
 */
export const checkPlannedStops: Check = record => {
  const arrivals = groupBy(record.arrivals, ({ attempt }) => attempt);
  return record.attempts.flatMap((attempt): Violation[] => {
    const ownArrivals = arrivals.get(attempt.id) ?? [];
    if (!isLostByStop(record, attempt, ownArrivals)) return [];
    const seen = `${attempt.id} at ${attempt.instance}: ${attempt.end?.reason ?? ''}`;
    return [{ promise: 'a planned stop loses no request', seen }];
  });
};

/** Longest permitted time from SIGTERM to the exit of a process. */
const shutdownGraceMs = shutdownGraceSeconds * 1_000;

/**
 * Checks that processes exit only when the soak test stops them, and that a
 * process exits with code 0 within `shutdownGraceMs` of SIGTERM, or later if
 * another fault was active.
 */
export const checkProcessExits: Check = ({ exits, faultLog }) =>
  exits.flatMap((exit): Violation[] => {
    const seen = JSON.stringify(exit);
    if (exit.asked === undefined) {
      return [{ promise: 'no process exits unexpectedly', seen }];
    }
    if (exit.asked === 'SIGKILL') return [];
    const askedMs = exit.askedAtMs ?? 0;
    const isSlow = exit.atMs - askedMs > shutdownGraceMs;
    const hadFault = !faultLog.isFaultFreeExcept('SIGTERM', askedMs, exit.atMs);
    if (exit.code === 0 && (!isSlow || hadFault)) return [];
    return [
      { promise: 'a planned stop exits cleanly within the grace period', seen },
    ];
  });

/**
 * A longer stall of the soak process delays its own callers and targets, so the
 * measured times are unusable.
 */
const maxStallMs = 2_000;

/** Checks that the soak process did not stall for longer than `maxStallMs`. */
export const checkSoakStalls: Check = ({ longestStallMs }) => {
  if (longestStallMs <= maxStallMs) return [];
  const seen = `the soak process stalled for ${Math.round(longestStallMs)} ms`;
  return [
    {
      promise: 'the soak process does not stall too long to measure times',
      seen,
    },
  ];
};

/** Checks that every started instance became ready. */
export const checkInstanceReadiness: Check = ({ unreadyInstances }) =>
  unreadyInstances.map(instance => ({
    promise: 'a started instance becomes ready',
    seen: instance,
  }));

/** Share of the requests after the recovery period that must be served. */
const minServedShare = 0.25;

/**
 * Checks that at least `minServedShare` of the requests sent after the recovery
 * period are served.
 */
export const checkRecovery: Check = ({ attempts, faultFreeSinceMs }) => {
  const attemptsAfterRecovery = attempts.filter(
    ({ sentAtMs, endedAtMs, leftAtMs = Infinity }) =>
      sentAtMs > faultFreeSinceMs + recoveryMs &&
      endedAtMs !== undefined &&
      leftAtMs >= sentAtMs + requestTimeoutMs,
  );
  const served = attemptsAfterRecovery.filter(
    ({ end }) => end?.status === 200 && end.whole,
  );
  if (
    attemptsAfterRecovery.length > 0 &&
    served.length >= minServedShare * attemptsAfterRecovery.length
  )
    return [];
  const seen = `${served.length} of ${attemptsAfterRecovery.length} requests served`;
  return [{ promise: 'requests are served again after the last fault', seen }];
};
