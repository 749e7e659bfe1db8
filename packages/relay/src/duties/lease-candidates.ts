/** Selects the instances that may lead. */
import type { InstanceRegistry } from '@medlarlever/core';

/** Number of instances that compete for the lease, in order of their names. */
const maxLeaseCandidates = 3;

/**
 * Names of the instances that may lead, as far as this instance knows. Few
 * compete, to save table load.
 */
export const listLeaseCandidates = (
  registry: InstanceRegistry,
): readonly string[] =>
  registry
    .listInstances()
    .filter(({ state }) => state === 'live')
    .map(({ name }) => name)
    .sort()
    .slice(0, maxLeaseCandidates);
