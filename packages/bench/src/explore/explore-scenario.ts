/** The exploration scenarios of `npm run explore`, and a function that explores one scenario. */
import { install } from '@sinonjs/fake-timers';

import { createConfigurationScenario } from './configuration-scenario.js';
import { Explorer } from './explorer.js';
import type { ExplorationResult, ExplorationScenario } from './explorer.js';
import { createCommandScenario } from './command-scenario.js';
import { createLeaseScenario } from './lease-scenario.js';

/** Scenarios that `npm run explore` runs, each with at most one fault, one pause and one restore in a schedule. */
export const explorationScenarios: readonly ExplorationScenario[] = [
  createCommandScenario({ checksFencing: false, maxFaults: 1, maxPauses: 1 }),
  createCommandScenario({ checksFencing: true, maxFaults: 1, maxPauses: 1 }),
  createConfigurationScenario({ maxFaults: 1, maxPauses: 1 }),
  createLeaseScenario({ maxFaults: 1, maxPauses: 1, maxRestores: 1 }),
];

/** Explores a scenario under a fake clock that only the explorer advances. */
export const exploreScenario = async (
  scenario: ExplorationScenario,
): Promise<ExplorationResult> => {
  const clock = install({
    toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'],
  });
  try {
    return await new Explorer(scenario, clock).exploreSchedules();
  } finally {
    clock.uninstall();
  }
};
