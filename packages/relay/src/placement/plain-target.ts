/** Chooses the target of a request to a service without engines. */
import type { TargetState } from '../targets/target-state.js';

import type { PlacementOptions } from './placement-options.js';
import {
  computeConnectionPenalty,
  filterAnsweringTargets,
  findCheapest,
} from './target-filters.js';

/**
 * Returns the least loaded target of a service without engines; undefined when
 * there is none. A remote data centre costs as much as 0.2 of the slots in use.
 */
export const selectPlainTarget = (
  options: Pick<
    PlacementOptions,
    | 'targets'
    | 'excluded'
    | 'unreached'
    | 'dataCenter'
    | 'origin'
    | 'isConnected'
    | 'isIncarnationKnown'
  >,
): TargetState | undefined => {
  const candidates = filterAnsweringTargets(options).map(target => {
    const requests =
      target.activeRequestCount + 1 + computeConnectionPenalty(target, options);
    const utilization = requests / target.record.slots;
    const isRemote = target.record.dataCenter !== options.dataCenter;
    return {
      target,
      cost: utilization * target.slowness + (isRemote ? 0.2 : 0),
    };
  });
  return findCheapest(candidates)?.target;
};
