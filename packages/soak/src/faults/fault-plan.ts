/**
 * Plans which faults a run injects at which time; the plan depends only on the
 * seed.
 */
import { SeededRandom } from '../shared/seeded-random.js';

import { KeyChange, RouteChange } from './configuration-faults.js';
import { CrashingPart } from './crashing-part.js';
import { DutyInterfaceOutage } from './duty-interface-faults.js';
import type { Fault } from './fault.js';
import {
  ClockStep,
  SimultaneousKills,
  ProcessPause,
  SettingsReload,
  SequentialStops,
} from './instance-faults.js';
import { LinkReset, LinkSilence, LinkDelay } from './network-faults.js';
import { RestartsInRefusals } from './restarts-in-refusals.js';
import {
  StoreHistoryLoss,
  StoreDelay,
  StoreRestore,
  StoreOutage,
  SingleInstanceStoreOutage,
} from './store-faults.js';
import { TargetCut } from './target-cut.js';
import {
  DepartureByResponse,
  TargetCrash,
  TargetLimit,
  TargetPause,
  TargetGrayFailure,
  TargetReplacement,
} from './target-faults.js';

/**
 * A fault and the time of its injection, in milliseconds since the start of the
 * plan.
 */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
  /** Source of every random choice of the fault. */
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
  new StoreRestore(),
  new TargetReplacement(),
  new TargetCrash(),
  new TargetGrayFailure(),
  new DepartureByResponse(),
  new TargetPause(),
  new TargetLimit(),
  new CrashingPart(),
  new TargetCut(),
  new RouteChange(),
  new DutyInterfaceOutage(),
  new KeyChange(),
];

/** Time of the first fault, in milliseconds since the start of the plan. */
const firstFaultAtMs = 1_000;

/**
 * Mean time between the starts of two faults; most faults last longer, so they
 * overlap.
 */
const meanFaultIntervalMs = 1_200;

/**
 * Probability that a fault is repeated shortly afterwards, because real faults
 * come in series.
 */
const repeatProbability = 0.25;

/**
 * Probability that a seed has only planned changes, during which no request may
 * be lost.
 */
const plannedOnlyProbability = 0.2;

const plannedChanges: readonly Fault[] = [
  new SequentialStops(),
  new SettingsReload(),
  new TargetReplacement(),
  new DepartureByResponse(),
  new RouteChange(),
  new KeyChange(),
];

/**
 * Returns the plan of the seed with restarts of all instances while targets refuse. They
 * come in addition to its other faults.
 */
export const planFaultsWithRestarts = (
  seed: number,
  faultPeriodMs: number,
): PlannedFault[] => [
  ...planFaults(seed, faultPeriodMs),
  {
    atMs: firstFaultAtMs,
    fault: new RestartsInRefusals(),
    random: new SeededRandom(seed),
  },
];

/** Returns the faults of a period of `faultPeriodMs` milliseconds. */
export const planFaults = (
  seed: number,
  faultPeriodMs: number,
): PlannedFault[] => {
  const random = new SeededRandom(seed);
  const candidates = random.nextBoolean(plannedOnlyProbability)
    ? plannedChanges
    : allFaults;
  const plan: PlannedFault[] = [];
  const addFault = (atMs: number, fault: Fault) => {
    plan.push({ atMs, fault, random: new SeededRandom(random.nextInteger()) });
  };
  let atMs = firstFaultAtMs;
  while (atMs < faultPeriodMs) {
    const fault = random.pickItem(candidates);
    addFault(atMs, fault);
    if (random.nextBoolean(repeatProbability))
      addFault(atMs + meanFaultIntervalMs / 2, fault);
    atMs += random.nextBetween(0, 2 * meanFaultIntervalMs);
  }
  return plan;
};
