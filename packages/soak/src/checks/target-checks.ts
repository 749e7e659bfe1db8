/**
 * Checks of the requests and commands (`orders` on the wire) that reach the
 * targets, and of when they arrive.
 */
import type { Arrival, ReceivedOrder } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';
import { retryAllowance } from '../run/configuration.js';
import { targetDrainMs } from '../run/target-fleet.js';

import { groupBy, hasNoRecentFault } from './check.js';
import type { Check, Violation } from './check.js';

const indexAttemptsById = ({ attempts }: RunRecord): Map<string, Attempt> =>
  new Map(attempts.map(attempt => [attempt.id, attempt]));

/**
 * Checks that no request reaches a target later than `targetDrainMs` after the
 * target announced its departure.
 */
export const checkLeavingTargets: Check = record => {
  const attempts = indexAttemptsById(record);
  return record.targetDepartures.flatMap(({ target, atMs }) =>
    record.arrivals
      .filter(arrival => arrival.target === target)
      .filter(arrival => arrival.atMs > atMs + targetDrainMs)
      .filter(arrival => {
        const instance = attempts.get(arrival.attempt)?.instance ?? '';
        return hasNoRecentFault(record, instance, atMs, arrival.atMs);
      })
      .map(arrival => {
        const lateMs = Math.round(arrival.atMs - atMs);
        const seen = `${arrival.attempt} reached ${target} after ${lateMs} ms`;
        return { promise: 'a leaving target receives no new requests', seen };
      }),
  );
};

/**
 * Milliseconds from the disconnect of a caller to the cancellation of its work.
 */
const cancellationDelayMs = 500;
/**
 * Maximum number of requests per run that may arrive at targets later than
 * `cancellationDelayMs` after their caller disconnected.
 */
const maxLateArrivals = 3;

/**
 * Checks that the request of a disconnected caller is not sent to further
 * targets.
 */
export const checkDisconnectedCallers: Check = record => {
  const attempts = indexAttemptsById(record);
  const lateArrivals = record.arrivals.filter(({ attempt, atMs }) => {
    const sentAttempt = attempts.get(attempt);
    if (sentAttempt?.leftAtMs === undefined) return false;
    const isFaultFree = hasNoRecentFault(
      record,
      sentAttempt.instance,
      sentAttempt.sentAtMs,
      atMs,
    );
    return isFaultFree && atMs > sentAttempt.leftAtMs + cancellationDelayMs;
  });
  if (lateArrivals.length <= maxLateArrivals) return [];
  const seen = lateArrivals.map(({ attempt }) => attempt).join(' ');
  return [{ promise: 'nothing is sent for a disconnected caller', seen }];
};

/**
 * Maximum share of the work of disconnected callers that may continue later
 * than `cancellationDelayMs` after the disconnect.
 */
const maxContinuedShare = 0.25;
/** Fewer arrivals than this are too few to compute a share. */
const minSampleSize = 8;

/**
 * Checks that most of the repeatable work of disconnected callers is cancelled
 * within `cancellationDelayMs`.
 */
export const checkWorkCancellation: Check = record => {
  const attempts = indexAttemptsById(record);
  const affectedArrivals = record.arrivals.filter(arrival => {
    const sentAttempt = attempts.get(arrival.attempt);
    if (
      sentAttempt?.leftAtMs === undefined ||
      sentAttempt.kind === 'non_idempotent'
    ) {
      return false;
    }
    const untilMs = sentAttempt.leftAtMs + cancellationDelayMs;
    const isStillRunning = (arrival.endedAtMs ?? Infinity) > untilMs;
    const isFaultFree = hasNoRecentFault(
      record,
      sentAttempt.instance,
      sentAttempt.sentAtMs,
      untilMs,
    );
    return isStillRunning && isFaultFree && arrival.atMs < sentAttempt.leftAtMs;
  });
  const continuedArrivals = affectedArrivals.filter(({ attempt, leftAtMs }) => {
    const callerLeftMs = attempts.get(attempt)?.leftAtMs ?? 0;
    return (leftAtMs ?? Infinity) > callerLeftMs + cancellationDelayMs;
  });
  const isSampleTooSmall = affectedArrivals.length < minSampleSize;
  if (
    isSampleTooSmall ||
    continuedArrivals.length <= maxContinuedShare * affectedArrivals.length
  )
    return [];
  const seen = `${continuedArrivals.length} of ${affectedArrivals.length} arrivals were not cancelled`;
  return [{ promise: 'work is cancelled when its caller disconnects', seen }];
};

/**
 * Length of the retry window, and the ratio of retries to requests for all
 * instances together.
 */
const retryWindowMs = 10_000;
const retryRatio = 0.2;

/** Returns the items but for the first one of each request. */
const omitFirst = (arrivals: readonly Arrival[]): Arrival[] => {
  const seenRequests = new Set<string>();
  return arrivals.filter(({ attempt }) => {
    const isRepeated = seenRequests.has(attempt);
    seenRequests.add(attempt);
    return isRepeated;
  });
};

/**
 * Returns the arrivals after the first of each request. The first separate prefill of a
 * request (`reading`) that its target accepts is no arrival.
 */
const listRepeatedArrivals = (arrivals: readonly Arrival[]): Arrival[] => {
  const isPrefill = ({ reading, refused }: Arrival) => reading && !refused;
  const repeatedPrefills = new Set(omitFirst(arrivals.filter(isPrefill)));
  return omitFirst(
    arrivals.filter(
      arrival => !isPrefill(arrival) || repeatedPrefills.has(arrival),
    ),
  );
};

/**
 * Checks that each service gets at most `retryRatio` retries per request plus
 * `retryAllowance` in any period of `retryWindowMs`.
 */
export const checkRetryBudget: Check = ({ attempts, arrivals }) => {
  const arrivalsByService = groupBy(arrivals, ({ service }) => service);
  return [...arrivalsByService].flatMap(
    ([service, serviceArrivals]): Violation[] => {
      const ids = new Set(serviceArrivals.map(({ attempt }) => attempt));
      const serviceAttempts = attempts.filter(({ id }) => ids.has(id));
      const repeatedArrivals = listRepeatedArrivals(serviceArrivals);
      const excessArrival = repeatedArrivals.find(({ atMs }) => {
        const fromMs = atMs - retryWindowMs;
        const isInWindow = (ms: number, startMs: number) =>
          ms > startMs && ms <= startMs + retryWindowMs;
        const retryCount = repeatedArrivals.filter(item =>
          isInWindow(item.atMs, fromMs),
        ).length;
        const requestCount = Math.max(
          ...[0, retryWindowMs / 2, retryWindowMs].map(
            offsetMs =>
              serviceAttempts.filter(item =>
                isInWindow(item.sentAtMs, fromMs - offsetMs),
              ).length,
          ),
        );
        return retryCount > retryRatio * requestCount + retryAllowance;
      });
      if (excessArrival === undefined) return [];
      const seen = `${service}: a retry of ${excessArrival.attempt} exceeds the budget`;
      return [{ promise: 'retries stay within the retry budget', seen }];
    },
  );
};

/**
 * Duration of a lease; orders of two holders must be at least this far apart.
 */
const leaseMs = 3_000;

const describeCommandConflict = (
  previousOrder: ReceivedOrder,
  order: ReceivedOrder,
): string => {
  if (order.fencing < previousOrder.fencing)
    return 'lower fencing token after a higher one';
  if (order.holder === previousOrder.holder) return '';
  if (order.fencing === previousOrder.fencing)
    return 'two holders with the same fencing token';
  return order.atMs - previousOrder.atMs < leaseMs
    ? 'two holders within one lease duration'
    : '';
};

/**
 * Checks that each engine receives orders (commands) of only one lease holder
 * at a time, with rising fencing tokens.
 */
export const checkSingleLeaseHolder: Check = ({ orders }) => {
  const ordersByTarget = groupBy(orders, ({ target }) => target);
  return [...ordersByTarget.values()].flatMap(targetOrders =>
    targetOrders.flatMap((order, i): Violation[] => {
      const previousOrder = targetOrders[i - 1];
      const conflict =
        previousOrder === undefined
          ? ''
          : describeCommandConflict(previousOrder, order);
      if (conflict === '') return [];
      const conflictText = `${conflict}: ${JSON.stringify([previousOrder, order])}`;
      return [
        {
          promise: 'only one lease holder sends orders at a time',
          seen: conflictText,
        },
      ];
    }),
  );
};
