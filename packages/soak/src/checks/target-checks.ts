/** What reaches the targets, and when. */
import type { Arrival, ReceivedOrder } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';
import { retryAllowance } from '../run/configuration.js';
import { targetDrainMs } from '../run/target-fleet.js';

import { groupBy, isUndisturbed } from './check.js';
import type { Check, Violation } from './check.js';

const indexAttemptsById = ({ attempts }: RunRecord): Map<string, Attempt> =>
  new Map(attempts.map(attempt => [attempt.id, attempt]));

/** No request reaches a target that said long ago that it leaves. */
export const checkLeavingTargets: Check = evidence => {
  const attempts = indexAttemptsById(evidence);
  return evidence.targetDepartures.flatMap(({ target, atMs }) =>
    evidence.arrivals
      .filter(arrival => arrival.target === target)
      .filter(arrival => arrival.atMs > atMs + targetDrainMs)
      .filter(arrival => {
        const instance = attempts.get(arrival.attempt)?.instance ?? '';
        return isUndisturbed(evidence, instance, atMs, arrival.atMs);
      })
      .map(arrival => {
        const lateMs = Math.round(arrival.atMs - atMs);
        const seen = `${arrival.attempt} reached ${target} after ${lateMs} ms`;
        return { promise: 'a leaving target gets no more work', seen };
      }),
  );
};

/** After a caller has left, its request reaches no target. */
const cancellationDelayMs = 500;
const maxLateArrivals = 3;

export const checkDisconnectedCallers: Check = evidence => {
  const attempts = indexAttemptsById(evidence);
  const late = evidence.arrivals.filter(({ attempt, atMs }) => {
    const left = attempts.get(attempt);
    if (left?.leftAtMs === undefined) return false;
    const inTouch = isUndisturbed(evidence, left.instance, left.sentAtMs, atMs);
    return inTouch && atMs > left.leftAtMs + cancellationDelayMs;
  });
  if (late.length <= maxLateArrivals) return [];
  const seen = late.map(({ attempt }) => attempt).join(' ');
  return [{ promise: 'nothing is sent for a caller that has left', seen }];
};

/** Work for callers that have left ends soon. */
const maxContinuedShare = 0.25;
const minSampleSize = 8;

export const checkWorkCancellation: Check = evidence => {
  const attempts = indexAttemptsById(evidence);
  const judged = evidence.arrivals.filter(arrival => {
    const left = attempts.get(arrival.attempt);
    if (left?.leftAtMs === undefined || left.kind === 'non_idempotent') {
      return false;
    }
    const untilMs = left.leftAtMs + cancellationDelayMs;
    const lasting = (arrival.endedAtMs ?? Infinity) > untilMs;
    const calm = isUndisturbed(evidence, left.instance, left.sentAtMs, untilMs);
    return lasting && calm && arrival.atMs < left.leftAtMs;
  });
  const working = judged.filter(({ attempt, leftAtMs }) => {
    const callerLeftMs = attempts.get(attempt)?.leftAtMs ?? 0;
    return (leftAtMs ?? Infinity) > callerLeftMs + cancellationDelayMs;
  });
  const few = judged.length < minSampleSize;
  if (few || working.length <= maxContinuedShare * judged.length) return [];
  const seen = `${working.length} of ${judged.length} went on`;
  return [{ promise: 'work ends when its caller has left', seen }];
};

/** Window and share of the retries that all instances have together. */
const retryWindowMs = 10_000;
const retryRatio = 0.2;

/** Arrivals beyond the first of each request; reading apart is none. */
const listRepeatedArrivals = (arrivals: readonly Arrival[]): Arrival[] => {
  const first = new Set<string>();
  return arrivals.filter(({ attempt, reading }) => {
    const kind = `${attempt} ${reading}`;
    if (first.has(kind)) return true;
    first.add(kind);
    return false;
  });
};

export const checkRetryBudget: Check = ({ attempts, arrivals }) => {
  const services = groupBy(arrivals, ({ service }) => service);
  return [...services].flatMap(([service, all]): Violation[] => {
    const ids = new Set(all.map(({ attempt }) => attempt));
    const sent = attempts.filter(({ id }) => ids.has(id));
    const repeats = listRepeatedArrivals(all);
    const over = repeats.find(({ atMs }) => {
      const fromMs = atMs - retryWindowMs;
      const inWindow = (ms: number, startMs: number) =>
        ms > startMs && ms <= startMs + retryWindowMs;
      const count = repeats.filter(one => inWindow(one.atMs, fromMs)).length;
      const requests = Math.max(
        ...[0, retryWindowMs / 2, retryWindowMs].map(
          earlier =>
            sent.filter(one => inWindow(one.sentAtMs, fromMs - earlier)).length,
        ),
      );
      return count > retryRatio * requests + retryAllowance;
    });
    if (over === undefined) return [];
    const seen = `${service}: the repeat of ${over.attempt} is one too many`;
    return [{ promise: 'retries stay within their budget', seen }];
  });
};

/** Time in which two holders must not take turns. */
const leaseMs = 3_000;

const describeCommandConflict = (
  before: ReceivedOrder,
  order: ReceivedOrder,
): string => {
  if (order.fencing < before.fencing) return 'a lower fence after a higher one';
  if (order.holder === before.holder) return '';
  if (order.fencing === before.fencing) return 'two holders with one fence';
  return order.atMs - before.atMs < leaseMs ? 'two holders in one turn' : '';
};

/** Engines hear of one holder of orders at a time. */
export const checkSingleLeaseHolder: Check = ({ orders }) => {
  const byTarget = groupBy(orders, ({ target }) => target);
  return [...byTarget.values()].flatMap(seen =>
    seen.flatMap((order, i): Violation[] => {
      const before = seen[i - 1];
      const wrong =
        before === undefined ? '' : describeCommandConflict(before, order);
      if (wrong === '') return [];
      const told = `${wrong}: ${JSON.stringify([before, order])}`;
      return [{ promise: 'one holder gives orders at a time', seen: told }];
    }),
  );
};
