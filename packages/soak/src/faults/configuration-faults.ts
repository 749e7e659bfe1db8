/** Configuration changes that an operator makes during a run. */
import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/**
 * Switches the moving route to the other service, sometimes twice within a
 * second.
 */
export class RouteChange extends Fault {
  readonly name = 'route move';

  async inject(run: SoakRun, random: SeededRandom): Promise<void> {
    run.switchMovingRoute();
    if (!random.nextBoolean(0.3)) return;
    await waitBetweenSeconds(random, 0.1, 1);
    run.switchMovingRoute();
  }
}
