/** Which targets may take a request, and what speaks against one beside its load. */
import { canContinueStream } from '../origins/stream-origin.js';
import type { TargetState } from '../targets/target-state.js';

import type { PlacementOptions } from './placement-options.js';

/**
 * Cost, in running requests, of a target to which this instance has no idle connection.
 * It decides between targets that are loaded alike; without it, more than half of the
 * requests of a large deployment open a connection.
 */
const newConnectionPenaltyRequests = 0.2;

/**
 * Targets that have not failed for this request, are not changing their role and
 * take a request from this instance now. Avoided and unreachable ones are returned
 * only when there are no others.
 */
export const filterUsableTargets = ({
  targets,
  excluded,
  unreached,
}: Pick<
  PlacementOptions,
  'targets' | 'excluded' | 'unreached'
>): TargetState[] => {
  const allowed = targets.filter(
    target =>
      !excluded.has(target) && !target.isChangingRole && target.acceptsRequests,
  );
  const preferred = allowed.filter(
    target => !target.isAvoided && !unreached.has(target.record.dataCenter),
  );
  return preferred.length > 0 ? preferred : allowed;
};

/** Usable targets that can make the events of the request's answer. */
export const filterAnsweringTargets = (
  options: Pick<
    PlacementOptions,
    'targets' | 'excluded' | 'unreached' | 'origin' | 'isIncarnationKnown'
  >,
): TargetState[] => {
  const { targets, origin, isIncarnationKnown } = options;
  const answering = targets.filter(
    target =>
      canContinueStream(target.record, origin) &&
      (origin === undefined || isIncarnationKnown?.(target) !== false),
  );
  return filterUsableTargets({ ...options, targets: answering });
};

/** Returns the candidate of the lowest cost; undefined if there is none. */
export const findCheapest = <T extends { readonly cost: number }>(
  candidates: readonly T[],
): T | undefined => {
  let cheapest: T | undefined;
  for (const candidate of candidates) {
    if (cheapest === undefined || candidate.cost < cheapest.cost) {
      cheapest = candidate;
    }
  }
  return cheapest;
};

/** Penalty, in running requests, of a target to which a connection must be opened. */
export const computeConnectionPenalty = (
  target: TargetState,
  { isConnected }: Pick<PlacementOptions, 'isConnected'>,
): number =>
  isConnected?.(target) === false ? newConnectionPenaltyRequests : 0;
