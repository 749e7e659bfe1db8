/** Changes by the operator. */
import type { Scene } from '../run/soak-run.js';
import type { Random } from '../shared/seeded-random.js';

import { Fault, passBetween } from './fault.js';

/** The moving route goes to the other service, sometimes twice in a row. */
export class RouteMove extends Fault {
  readonly name = 'route move';

  async inject(scene: Scene, random: Random): Promise<void> {
    scene.moveRoute();
    if (!random.chance(0.3)) return;
    await passBetween(random, 0.1, 1);
    scene.moveRoute();
  }
}
