/** Checks of the calls at the platform's interface for duties. */
import type { DutyCall } from '@medlarlever/platform/stand-ins';

import { groupBy } from './check.js';
import type { Check, Violation } from './check.js';

/** Duration of the lease in the settings of the instances. */
const leaseMs = 3_000;

const acceptedStatus = 200;

/** Counts with the customers in order, so that equal ones have equal texts. */
const formatCounts = ({ usage }: DutyCall): string =>
  JSON.stringify(
    Object.entries(usage?.counts ?? {}).sort(([a], [b]) => (a < b ? -1 : 1)),
  );

/** Accepted reports of one window never differ. */
export const checkUsageReports: Check = ({ dutyCalls }) => {
  const reports = dutyCalls.filter(
    ({ usage, status }) => usage !== undefined && status === acceptedStatus,
  );
  const byWindow = groupBy(reports, ({ usage }) => String(usage?.window_id));
  return [...byWindow].flatMap(([window, calls]): Violation[] => {
    const counts = [...new Set(calls.map(formatCounts))];
    return counts.length === 1
      ? []
      : [
          {
            promise: 'no two reports of a window differ',
            seen: `window ${window}: ${counts.join(' and ')}`,
          },
        ];
  });
};

/**
 * Describes what is wrong with a call after an earlier one of another holder or
 * token; undefined if nothing is.
 */
const describeConflict = (
  previous: DutyCall,
  call: DutyCall,
): string | undefined => {
  if (call.fencingToken < previous.fencingToken)
    return 'a call with a lower fencing token came later';
  const isSameHolder = call.holder === previous.holder;
  if (call.fencingToken === previous.fencingToken && !isSameHolder)
    return 'two holders used one fencing token';
  return undefined;
};

/** Finds a holder that has the lease again within `leaseMs` of another holder's turn. */
const findQuickReturn = (calls: readonly DutyCall[]): DutyCall | undefined =>
  calls.find((call, i) => {
    const earlier = calls
      .slice(0, i)
      .filter(({ atMs }) => call.atMs - atMs < leaseMs);
    const own = earlier.findIndex(({ holder }) => holder === call.holder);
    return (
      own !== -1 &&
      earlier.slice(own).some(({ holder }) => holder !== call.holder)
    );
  });

/** Tokens rise with the holders, and no holder is back within the lease time. */
export const checkDutyHolders: Check = ({ dutyCalls }) => {
  const promise = 'only one lease holder calls the platform at a time';
  const conflicts = dutyCalls.flatMap((call, i): Violation[] => {
    const previous = dutyCalls[i - 1];
    const conflict = previous && describeConflict(previous, call);
    if (conflict === undefined) return [];
    return [{ promise, seen: `${conflict}: ${JSON.stringify(call)}` }];
  });
  const quickReturn = findQuickReturn(dutyCalls);
  if (quickReturn === undefined) return conflicts;
  const seen = `a holder was back within the lease time: ${JSON.stringify(quickReturn)}`;
  return [...conflicts, { promise, seen }];
};
