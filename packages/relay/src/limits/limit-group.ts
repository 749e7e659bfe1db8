/** Selects the instances among which the limits of targets are divided. */
import type { InstanceRecord } from '@medlarlever/core';

import type { KnownInstances } from '../peers/known-instances.js';

import type { LimitGroup } from './limit-share.js';

/** What this instance knows of the others. */
export interface LimitGroupOptions {
  /** Name of this instance. */
  readonly self: string;
  /** Instances that this one has heard of, with their state. */
  readonly instances: readonly Pick<InstanceRecord, 'name' | 'state'>[];
  readonly knownInstances: KnownInstances;
}

/**
 * Returns the group. Instances that are not heard of are left out only while most of
 * all instances are: an instance that hears of less may itself be cut off, and then
 * the others still send. One that doesn't know the others yet assumes some.
 */
export const selectLimitGroup = ({
  self,
  instances,
  knownInstances: { names, isComplete },
}: LimitGroupOptions): LimitGroup => {
  if (!isComplete) return { self, names };
  const liveNames = instances
    .filter(({ name, state }) => name === self || state === 'live')
    .map(({ name }) => name);
  const areMostLive = liveNames.length * 2 > names.length;
  return { self, names: areMostLive ? liveNames : names };
};
