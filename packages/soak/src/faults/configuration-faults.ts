/** Changes by the operator. */
import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** The moving route goes to the other service, sometimes twice in a row. */
export class RouteChange extends Fault {
  readonly name = 'route move';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    scene.moveRoute();
    if (!random.nextBoolean(0.3)) return;
    await waitBetweenSeconds(random, 0.1, 1);
    scene.moveRoute();
  }
}
