/** Faults of the platform's interface for duties. */
import type { DutyBehavior } from '@medlarlever/platform/stand-ins';

import { dutyInterfaceSubject } from '../run/fault-log.js';
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** How the interface fails; `slow` delays each call. */
const outageModes: readonly (DutyBehavior | 'slow')[] = [
  'answers lost',
  'down',
  'slow',
  429,
];

/** Delay around the time after which instances withdraw a call, in milliseconds. */
const minDelayMs = 200;
const maxDelayMs = 1_200;

/** Makes the interface fail in one random way. */
export class DutyInterfaceOutage extends Fault {
  readonly name = 'duty interface outage';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const { dutyInterface } = run;
    const mode = random.pickItem(outageModes);
    const endFault = run.faultLog.beginFault(
      dutyInterfaceSubject,
      String(mode),
    );
    if (mode === 'slow')
      dutyInterface.delayMs = random.nextBetween(minDelayMs, maxDelayMs);
    else dutyInterface.behavior = mode;
    await waitBetweenSeconds(random, 0.5, 8);
    dutyInterface.delayMs = 0;
    dutyInterface.behavior = 'accepting';
    endFault();
  }
}
