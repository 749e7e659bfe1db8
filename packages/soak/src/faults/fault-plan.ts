/** Which faults strike when; all of it follows from the seed. */
import { SeededRandom } from '../shared/seeded-random.js';

import { RouteChange } from './configuration-faults.js';
import type { Fault } from './fault.js';
import {
  ClockStep,
  SimultaneousKills,
  ProcessPause,
  SettingsReload,
  SequentialStops,
} from './instance-faults.js';
import { LinkReset, LinkSilence, LinkDelay } from './network-faults.js';
import {
  StoreHistoryLoss,
  StoreDelay,
  StoreOutage,
  SingleInstanceStoreOutage,
} from './store-faults.js';
import {
  TargetCrash,
  TargetGrayFailure,
  TargetReplacement,
} from './target-faults.js';

export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
  /** For all that the fault draws. */
  readonly random: SeededRandom;
}

const allFaults: readonly Fault[] = [
  new SequentialStops(),
  new SimultaneousKills(),
  new ProcessPause(),
  new SettingsReload(),
  new ClockStep(),
  new LinkSilence(),
  new LinkReset(),
  new LinkDelay(),
  new StoreOutage(),
  new SingleInstanceStoreOutage(),
  new StoreDelay(),
  new StoreHistoryLoss(),
  new TargetReplacement(),
  new TargetCrash(),
  new TargetGrayFailure(),
  new RouteChange(),
];

/** Time without faults at the start. */
const firstFaultAtMs = 1_000;

/** Mean time between two faults; most last longer, so they overlap. */
const meanFaultIntervalMs = 1_200;

/** Part of the faults that comes again at once, as series do. */
const repeatProbability = 0.25;

/** Some seeds have planned changes alone, during which nothing may be lost. */
const plannedOnlyProbability = 0.2;

const plannedChanges: readonly Fault[] = [
  new SequentialStops(),
  new SettingsReload(),
  new TargetReplacement(),
  new RouteChange(),
];

export const planFaults = (seed: number, lengthMs: number): PlannedFault[] => {
  const random = new SeededRandom(seed);
  const kinds = random.nextBoolean(plannedOnlyProbability)
    ? plannedChanges
    : allFaults;
  const plan: PlannedFault[] = [];
  const add = (atMs: number, fault: Fault) => {
    plan.push({ atMs, fault, random: new SeededRandom(random.nextInteger()) });
  };
  let atMs = firstFaultAtMs;
  while (atMs < lengthMs) {
    const fault = random.pickItem(kinds);
    add(atMs, fault);
    if (random.nextBoolean(repeatProbability))
      add(atMs + meanFaultIntervalMs / 2, fault);
    atMs += random.nextBetween(0, 2 * meanFaultIntervalMs);
  }
  return plan;
};
