/** Configuration changes that an operator makes during a run. */
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** Replaces a key of a customer: adds one, and withdraws the oldest soon after. */
export class KeyChange extends Fault {
  readonly name = 'change of a key';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const customer = run.customerKeys.pickCustomer(random);
    run.addKey(customer);
    await waitBetweenSeconds(random, 0, 2);
    run.withdrawKey(customer);
  }
}

/**
 * Switches the moving route to the other service, sometimes twice within a
 * second.
 */
export class RouteChange extends Fault {
  readonly name = 'route move';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    run.switchMovingRoute();
    if (!random.nextBoolean(0.3)) return;
    await waitBetweenSeconds(random, 0.1, 1);
    run.switchMovingRoute();
  }
}
