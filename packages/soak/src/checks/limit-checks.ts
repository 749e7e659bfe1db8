/** Checks that targets get no more requests than the limit that they name. */
import { findLargestArrivalCount } from '@medlarlever/platform/stand-ins';
import type { Arrival, LimitPeriod } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';

import { settlingMs } from './check.js';
import type { Check, Violation } from './check.js';

/** Time after a target first named a limit from which it is kept. */
const limitSettlingMs = 3_000;
/** Time after an answer with a limit from which its receiver counts. */
const toldMs = 500;
const windowMs = 4_000;

const computeAllowedArrivals = (requestsPerSecond: number): number =>
  1.5 * (windowMs / 1_000) * requestsPerSecond + 5;

/** Process lifetime of an instance. */
const getLife = ({ instance, life }: Attempt): string => `${instance} ${life}`;

/**
 * Returns the arrivals in the period from instances that the target had told of a
 * limit, without those of instances with a fault of their own shortly before.
 */
const selectCountedArrivals = (
  { arrivals, attempts, faultLog }: RunRecord,
  { target, fromMs, toMs }: LimitPeriod,
): Arrival[] => {
  const attemptsById = new Map(attempts.map(attempt => [attempt.id, attempt]));
  const toldAtMs = new Map<string, number>();
  const ofPeriod = arrivals.filter(
    arrival =>
      arrival.target === target &&
      arrival.atMs >= fromMs &&
      arrival.atMs < toMs,
  );
  for (const { attempt: id, namedLimit } of ofPeriod) {
    const attempt = attemptsById.get(id);
    if (attempt?.endedAtMs === undefined || namedLimit === undefined) continue;
    const life = getLife(attempt);
    const earliestMs = toldAtMs.get(life) ?? Infinity;
    toldAtMs.set(life, Math.min(earliestMs, attempt.endedAtMs));
  }
  return ofPeriod.filter(({ attempt: id, atMs }) => {
    const attempt = attemptsById.get(id);
    if (attempt === undefined || atMs < fromMs + limitSettlingMs) return false;
    const wasTold = (toldAtMs.get(getLife(attempt)) ?? Infinity) + toldMs;
    return (
      wasTold <= atMs &&
      faultLog.isFaultFree(attempt.instance, atMs - settlingMs, atMs)
    );
  });
};

/** Checks that the told instances together send no more than a target's limit. */
export const checkRequestLimits: Check = record =>
  record.limitPeriods.flatMap((period): Violation[] => {
    const { target, requestsPerSecond } = period;
    const arrivals = selectCountedArrivals(record, period);
    const count = findLargestArrivalCount(arrivals, windowMs);
    if (count <= computeAllowedArrivals(requestsPerSecond)) return [];
    return [
      {
        promise: 'a target gets no more requests than the limit that it names',
        seen: `${count} requests in 4 s reached ${target}, which takes ${requestsPerSecond} a second`,
      },
    ];
  });
