/** The scenarios that are explored, and how one is run. */
import { install } from '@sinonjs/fake-timers';

import { createConfigurationScenario } from './configuration-scenario.js';
import { Explorer } from './explorer.js';
import type { ExplorationResult, ExplorationScenario } from './explorer.js';
import { createCommandScenario } from './command-scenario.js';

export const explorationScenarios: readonly ExplorationScenario[] = [
  createCommandScenario({ checksFencing: false, maxFaults: 1, maxPauses: 1 }),
  createCommandScenario({ checksFencing: true, maxFaults: 1, maxPauses: 1 }),
  createConfigurationScenario({ maxFaults: 1, maxPauses: 1 }),
];

/** Explores with the clock paused; the explorer alone moves it. */
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
