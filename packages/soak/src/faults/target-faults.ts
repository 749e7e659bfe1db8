/** Targets that leave, crash or fail part of their requests. */
import { createNoFaults } from '@medlarlever/platform/stand-ins';
import type { TargetFaults } from '@medlarlever/platform/stand-ins';

import type { Scene } from '../run/soak-run.js';
import type { Random } from '../shared/seeded-random.js';

import { Fault, passBetween } from './fault.js';

/** One target leaves after another of its kind has come. */
export class Replacement extends Fault {
  readonly name = 'replacement';

  async inject(scene: Scene, random: Random): Promise<void> {
    const [leaving] = random.sample(scene.targets.spare(), 1);
    if (leaving === undefined) return;
    await scene.targets.add(leaving.service, leaving.role);
    await passBetween(random, 0.2, 1);
    await scene.targets.leave(leaving);
  }
}

export class Crash extends Fault {
  readonly name = 'crash';

  async inject(scene: Scene, random: Random): Promise<void> {
    const [target] = random.sample(scene.targets.spare(), 1);
    if (target === undefined) return;
    const over = scene.disturbances.begin(target.id, this.name);
    await scene.targets.crash(target, random.between(200, 2_500));
    over();
  }
}

const greyKinds: readonly Partial<TargetFaults>[] = [
  { hangShare: 0.3 },
  { resetShare: 0.4 },
  { truncatedResponseShare: 0.5 },
  { lostResponseShare: 0.4 },
  { extraResponseShare: 0.5 },
  { slowdownFactor: 8 },
  {
    truncatedResponseShare: 0.2,
    lostResponseShare: 0.2,
    extraResponseShare: 0.2,
  },
];

export class GreyTarget extends Fault {
  readonly name = 'grey target';

  async inject(scene: Scene, random: Random): Promise<void> {
    const target = random.pick(scene.targets.all());
    const over = scene.disturbances.begin(target.id, this.name);
    target.faults = { ...createNoFaults(), ...random.pick(greyKinds) };
    await passBetween(random, 1, 6);
    target.faults = createNoFaults();
    over();
  }
}
