/** Checks of instances that reach no target. */
import { storeSubject } from '../run/fault-log.js';
import type { Attempt, RunRecord, TargetCutPeriod } from '../run/run-record.js';

import { settlingMs } from './check.js';
import type { Check } from './check.js';

/** The bound holds from this time after the cut began. */
const stabilityWindowMs = 3_000;

/** Name of the fault, which is no excuse here. */
const cutFaultName = 'cut off from targets';

const okStatus = 200;

/** First tries of callers that stayed, in the time in which the bound holds. */
const listCountedTries = (
  { attempts, faultLog }: RunRecord,
  { fromMs, toMs }: TargetCutPeriod,
): Attempt[] =>
  attempts.filter(
    ({ instance, resumption, leftAtMs, sentAtMs, lifeStartedAtMs }) =>
      resumption === undefined &&
      leftAtMs === undefined &&
      sentAtMs > fromMs + stabilityWindowMs &&
      sentAtMs < toMs &&
      sentAtMs - lifeStartedAtMs >= settlingMs &&
      faultLog.isFaultFree(
        instance,
        sentAtMs - settlingMs,
        sentAtMs,
        cutFaultName,
      ) &&
      faultLog.isFaultFree(storeSubject, sentAtMs - settlingMs, sentAtMs),
  );

const isServed = ({ end }: Attempt): boolean =>
  end?.status === okStatus && end.whole;

const computeShare = (tries: readonly Attempt[]): number =>
  tries.filter(isServed).length / Math.max(1, tries.length);

/** Checks that instances that reach no target serve their callers by way of others. */
export const checkTargetCuts: Check = record =>
  record.targetCuts.flatMap(period => {
    const tries = listCountedTries(record, period);
    const isCut = ({ instance, sentAtMs }: Attempt) =>
      record.targetCuts.some(
        ({ instances, fromMs, toMs }) =>
          instances.includes(instance) && sentAtMs >= fromMs && sentAtMs < toMs,
      );
    const atCut = tries.filter(({ instance }) =>
      period.instances.includes(instance),
    );
    const atOthers = tries.filter(attempt => !isCut(attempt));
    const failedCount = atCut.filter(attempt => !isServed(attempt)).length;
    if (atOthers.length === 0 || failedCount <= 10 + tries.length / 50)
      return [];
    if (computeShare(atCut) >= (2 / 3) * computeShare(atOthers)) return [];
    const seen = `${atCut.length - failedCount} of ${atCut.length} first tries at ${period.instances.join(' ')}, ${computeShare(atOthers).toFixed(2)} of ${atOthers.length} at the others`;
    return [
      {
        promise: 'instances that reach no target serve by way of others',
        seen,
      },
    ];
  });
