/** Which faults strike when; all of it follows from the seed. */
import { Random } from '../shared/seeded-random.js';

import { RouteMove } from './configuration-faults.js';
import type { Fault } from './fault.js';
import {
  ClockStep,
  Kills,
  Pause,
  Reload,
  StopsInTurn,
} from './instance-faults.js';
import { ResetLinks, SilentLinks, SlowLinks } from './network-faults.js';
import {
  LostHistory,
  SlowStore,
  StoreOutage,
  StoreOutageForOne,
} from './store-faults.js';
import { Crash, GreyTarget, Replacement } from './target-faults.js';

export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
  /** For all that the fault draws. */
  readonly random: Random;
}

const faults: readonly Fault[] = [
  new StopsInTurn(),
  new Kills(),
  new Pause(),
  new Reload(),
  new ClockStep(),
  new SilentLinks(),
  new ResetLinks(),
  new SlowLinks(),
  new StoreOutage(),
  new StoreOutageForOne(),
  new SlowStore(),
  new LostHistory(),
  new Replacement(),
  new Crash(),
  new GreyTarget(),
  new RouteMove(),
];

/** Time without faults at the start. */
const leadMs = 1_000;

/** Mean time between two faults; most last longer, so they overlap. */
const meanGapMs = 1_200;

/** Part of the faults that comes again at once, as series do. */
const seriesShare = 0.25;

/** Some seeds have planned changes alone, during which nothing may be lost. */
const calmShare = 0.2;

const planned: readonly Fault[] = [
  new StopsInTurn(),
  new Reload(),
  new Replacement(),
  new RouteMove(),
];

export const planFaults = (seed: number, lengthMs: number): PlannedFault[] => {
  const random = new Random(seed);
  const kinds = random.chance(calmShare) ? planned : faults;
  const plan: PlannedFault[] = [];
  const add = (atMs: number, fault: Fault) => {
    plan.push({ atMs, fault, random: new Random(random.integer()) });
  };
  let atMs = leadMs;
  while (atMs < lengthMs) {
    const fault = random.pick(kinds);
    add(atMs, fault);
    if (random.chance(seriesShare)) add(atMs + meanGapMs / 2, fault);
    atMs += random.between(0, 2 * meanGapMs);
  }
  return plan;
};
