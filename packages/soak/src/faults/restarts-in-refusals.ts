/** Restarts of all instances at once while targets refuse most requests. */
import { createNoFaults } from '@medlarlever/platform/stand-ins';

import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';
import { restartInstance } from './instance-faults.js';

/** Part of the requests that each target refuses. */
const refusedShare = 0.6;

const minRestartCount = 2;
const maxRestartCount = 4;

/** Kills all instances several times within one window of the retry budget. */
export class RestartsInRefusals extends Fault {
  readonly name = 'restarts in refusals';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const targets = run.targetFleet.listTargets();
    for (const target of targets)
      target.faults = { ...createNoFaults(), refusedShare };
    const endFault = run.faultLog.beginFault('targets', this.name);
    const restartCount = Math.round(
      random.nextBetween(minRestartCount, maxRestartCount),
    );
    for (let i = 0; i < restartCount; i += 1) {
      await waitBetweenSeconds(random, 0.5, 2);
      await killAll(run, random);
    }
    await waitBetweenSeconds(random, 1, 3);
    for (const target of targets) target.faults = createNoFaults();
    endFault();
  }
}

const killAll = async (
  run: FaultScene,
  random: SeededRandom,
): Promise<void> => {
  await Promise.all(
    run
      .listIdleInstances()
      .map(instance =>
        run.runWithReservedInstance(instance, () =>
          restartInstance(run, random, instance, 'SIGKILL'),
        ),
      ),
  );
};
