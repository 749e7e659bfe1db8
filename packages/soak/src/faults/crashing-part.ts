/** Callers whose prompts have a part that ends each engine that begins an answer. */
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** Lets callers send prompts with a part that crashes engines, one part at a time. */
export class CrashingPart extends Fault {
  readonly name = 'part that crashes engines';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    if (run.crashingPart !== undefined) return;
    const endPart = run.startCrashingPart();
    const endFault = run.faultLog.beginFault('engines', this.name);
    await waitBetweenSeconds(random, 9, 14);
    endPart();
    endFault();
  }
}
