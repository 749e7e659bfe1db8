/** Selects the instances among which the limits of targets are divided. */
import type { InstanceRecord } from '@medlarlever/core';

import type { LimitGroup } from './limit-share.js';

/** What this instance knows of the others. */
export interface LimitGroupOptions {
  /** Name of this instance. */
  readonly self: string;
  /** Instances that this one has heard of, with their state. */
  readonly instances: readonly Pick<InstanceRecord, 'name' | 'state'>[];
  /** Names of all instances that have ever started, if they could be read. */
  readonly directoryNames: readonly string[];
  /** Number of instances assumed while the directory has not been read. */
  readonly minAssumedInstances: number;
}

const listAssumedNames = (count: number): string[] =>
  Array.from({ length: Math.max(0, count) }, (_, i) => `assumed ${i}`);

/**
 * Returns the group. Instances that are not heard of are left out only while most of
 * all instances are: an instance that hears of less may itself be cut off, and then
 * the others still send. One that doesn't know the others yet assumes some.
 */
export const selectLimitGroup = ({
  self,
  instances,
  directoryNames,
  minAssumedInstances,
}: LimitGroupOptions): LimitGroup => {
  const knownNames = new Set([
    self,
    ...directoryNames,
    ...instances.map(({ name }) => name),
  ]);
  if (directoryNames.length === 0) {
    const missingCount = minAssumedInstances - knownNames.size;
    return { self, names: [...knownNames, ...listAssumedNames(missingCount)] };
  }
  const liveNames = instances
    .filter(({ name, state }) => name === self || state === 'live')
    .map(({ name }) => name);
  const areMostLive = liveNames.length * 2 > knownNames.size;
  return { self, names: areMostLive ? liveNames : [...knownNames] };
};
