/** A store that misbehaves, for everyone or for one instance. */
import type { StoreBehavior } from '@medlarlever/platform/stand-ins';

import { storeSubject } from '../run/fault-log.js';
import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

const outageModes: readonly StoreBehavior[] = [
  'busy',
  'silent',
  'answers lost',
  'applied late',
];

const storeDelayMs = 250;

export class StoreOutage extends Fault {
  readonly name = 'store outage';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const mood = random.pickItem(outageModes);
    const over = scene.faultLog.beginFault(storeSubject, mood);
    for (const { store } of scene.instances) store.behavior = mood;
    await waitBetweenSeconds(random, 0.5, 6);
    for (const { store } of scene.instances) store.behavior = 'serving';
    over();
  }
}

export class SingleInstanceStoreOutage extends Fault {
  readonly name = 'store outage for one';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const { store, name } = random.pickItem(scene.instances);
    const mood = random.pickItem(outageModes);
    const over = scene.faultLog.beginFault(name, `store ${mood}`);
    store.behavior = mood;
    await waitBetweenSeconds(random, 0.5, 6);
    store.behavior = 'serving';
    over();
  }
}

export class StoreDelay extends Fault {
  readonly name = 'slow store';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const over = scene.faultLog.beginFault(storeSubject, this.name);
    for (const { store } of scene.instances) store.delayMs = storeDelayMs;
    await waitBetweenSeconds(random, 0.5, 5);
    for (const { store } of scene.instances) store.delayMs = 0;
    over();
  }
}

/** The store forgets what it changed before now. */
export class StoreHistoryLoss extends Fault {
  readonly name = 'lost history';

  inject(scene: SoakRun): Promise<void> {
    for (const { store } of scene.instances) {
      store.oldestRetainedPosition = store.position;
    }
    return Promise.resolve();
  }
}
