/**
 * Checks that instances heed what targets say in their responses: that they leave,
 * or that they want a pause.
 */
import type { Arrival } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';
import { targetDrainMs } from '../run/target-fleet.js';

import { groupBy } from './check.js';
import type { Check, Violation } from './check.js';

/** An arrival with the attempt, and thus the instance, that caused it. */
interface SentArrival {
  readonly arrival: Arrival;
  readonly attempt: Attempt;
}

/** Groups the arrivals by target and by process lifetime of the sending instance. */
const groupByTargetAndLife = (
  record: RunRecord,
): ReadonlyMap<string, readonly SentArrival[]> => {
  const attempts = new Map(
    record.attempts.map(attempt => [attempt.id, attempt]),
  );
  const sentArrivals = record.arrivals.flatMap((arrival): SentArrival[] => {
    const attempt = attempts.get(arrival.attempt);
    return attempt === undefined ? [] : [{ arrival, attempt }];
  });
  return groupBy(
    sentArrivals,
    ({ arrival, attempt }) =>
      `${arrival.target} ${attempt.instance} ${attempt.life}`,
  );
};

/** True if the instance had a fault of its own in the given time. */
const hadFault = (
  { faultLog }: RunRecord,
  { instance }: Attempt,
  fromMs: number,
  toMs: number,
): boolean => !faultLog.isFaultFree(instance, fromMs, toMs);

/**
 * Checks that no request that a caller sent later than `targetDrainMs` after an
 * instance had passed on the announcement of a target reaches that target from there.
 */
export const checkAnnouncedDepartures: Check = record =>
  [...groupByTargetAndLife(record).values()].flatMap(sentArrivals => {
    const announcedAtMs = Math.min(
      ...sentArrivals
        .filter(({ arrival }) => arrival.announcedLeaving && arrival.ran)
        .map(({ attempt }) => attempt.endedAtMs ?? Infinity),
    );
    return sentArrivals
      .filter(({ attempt }) => attempt.sentAtMs > announcedAtMs + targetDrainMs)
      .filter(
        ({ arrival, attempt }) =>
          !hadFault(record, attempt, announcedAtMs, arrival.atMs),
      )
      .map(({ arrival, attempt }): Violation => {
        const lateMs = Math.round(arrival.atMs - announcedAtMs);
        return {
          promise: 'a target that announced its departure gets no new requests',
          seen: `${arrival.attempt} reached ${arrival.target} from ${attempt.instance} after ${lateMs} ms`,
        };
      });
  });

/** Time that requests under way may still take to reach a target after its refusal. */
const pauseToleranceMs = 500;
/** Maximum number of requests that may reach a target during a pause. */
const maxArrivalsInPause = 2;

/**
 * Checks that at most `maxArrivalsInPause` requests of an instance reach a target
 * between `pauseToleranceMs` after its request for a pause and the end of the pause.
 */
export const checkPauses: Check = record => {
  const groups = groupByTargetAndLife(record);
  const attempts = new Map(
    record.attempts.map(attempt => [attempt.id, attempt]),
  );
  return record.pauseRequests.flatMap((pause): Violation[] => {
    const attempt = attempts.get(pause.attempt);
    if (attempt === undefined) return [];
    const endMs = pause.atMs + pause.durationMs;
    const key = `${pause.target} ${attempt.instance} ${attempt.life}`;
    const arrivals = (groups.get(key) ?? []).filter(
      ({ arrival: { atMs } }) =>
        atMs > pause.atMs + pauseToleranceMs && atMs < endMs,
    );
    if (arrivals.length <= maxArrivalsInPause) return [];
    if (hadFault(record, attempt, pause.atMs, endMs)) return [];
    return [
      {
        promise:
          'a target that asked for a pause gets no requests until its end',
        seen: `${arrivals.length} requests of ${attempt.instance} reached ${pause.target} in a pause`,
      },
    ];
  });
};
