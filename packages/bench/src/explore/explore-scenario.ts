/** The scenarios that are explored, and how one is run. */
import { install } from '@sinonjs/fake-timers';

import { createConfigurationScenario } from './configuration-scenario.js';
import { Explorer } from './explorer.js';
import type { Exploration, Scenario } from './explorer.js';
import { createOrderScenario } from './command-scenario.js';

export const scenarios: readonly Scenario[] = [
  createOrderScenario({ checksFencing: false, faults: 1, pauses: 1 }),
  createOrderScenario({ checksFencing: true, faults: 1, pauses: 1 }),
  createConfigurationScenario({ faults: 1, pauses: 1 }),
];

/** Explores with the clock paused; the explorer alone moves it. */
export const explore = async (scenario: Scenario): Promise<Exploration> => {
  const clock = install({
    toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'],
  });
  try {
    return await new Explorer(scenario, clock).explore();
  } finally {
    clock.uninstall();
  }
};
