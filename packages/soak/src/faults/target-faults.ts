/** Targets that leave, crash or fail part of their requests. */
import { createNoFaults } from '@medlarlever/platform/stand-ins';
import type { TargetFaults } from '@medlarlever/platform/stand-ins';

import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** One target leaves after another of its kind has come. */
export class TargetReplacement extends Fault {
  readonly name = 'replacement';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const [leaving] = random.sampleItems(
      scene.targetFleet.listRedundantTargets(),
      1,
    );
    if (leaving === undefined) return;
    await scene.targetFleet.addTarget(leaving.service, leaving.role);
    await waitBetweenSeconds(random, 0.2, 1);
    await scene.targetFleet.drainTarget(leaving);
  }
}

export class TargetCrash extends Fault {
  readonly name = 'crash';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const [target] = random.sampleItems(
      scene.targetFleet.listRedundantTargets(),
      1,
    );
    if (target === undefined) return;
    const over = scene.faultLog.beginFault(target.id, this.name);
    await scene.targetFleet.crashTarget(target, random.nextBetween(200, 2_500));
    over();
  }
}

const grayFailureModes: readonly Partial<TargetFaults>[] = [
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

export class TargetGrayFailure extends Fault {
  readonly name = 'grey target';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const target = random.pickItem(scene.targetFleet.listTargets());
    const over = scene.faultLog.beginFault(target.id, this.name);
    target.faults = {
      ...createNoFaults(),
      ...random.pickItem(grayFailureModes),
    };
    await waitBetweenSeconds(random, 1, 6);
    target.faults = createNoFaults();
    over();
  }
}
