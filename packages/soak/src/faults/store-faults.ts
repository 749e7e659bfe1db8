/** A store that misbehaves, for everyone or for one instance. */
import type { StoreBehavior } from '@medlarlever/platform/stand-ins';

import { storeSubject } from '../run/fault-log.js';
import type { Scene } from '../run/soak-run.js';
import type { Random } from '../shared/seeded-random.js';

import { Fault, passBetween } from './fault.js';

const moods: readonly StoreBehavior[] = [
  'busy',
  'silent',
  'answers lost',
  'applied late',
];

const slowMs = 250;

export class StoreOutage extends Fault {
  readonly name = 'store outage';

  async inject(scene: Scene, random: Random): Promise<void> {
    const mood = random.pick(moods);
    const over = scene.disturbances.begin(storeSubject, mood);
    for (const { store } of scene.instances) store.behavior = mood;
    await passBetween(random, 0.5, 6);
    for (const { store } of scene.instances) store.behavior = 'serving';
    over();
  }
}

export class StoreOutageForOne extends Fault {
  readonly name = 'store outage for one';

  async inject(scene: Scene, random: Random): Promise<void> {
    const { store, name } = random.pick(scene.instances);
    const mood = random.pick(moods);
    const over = scene.disturbances.begin(name, `store ${mood}`);
    store.behavior = mood;
    await passBetween(random, 0.5, 6);
    store.behavior = 'serving';
    over();
  }
}

export class SlowStore extends Fault {
  readonly name = 'slow store';

  async inject(scene: Scene, random: Random): Promise<void> {
    const over = scene.disturbances.begin(storeSubject, this.name);
    for (const { store } of scene.instances) store.delayMs = slowMs;
    await passBetween(random, 0.5, 5);
    for (const { store } of scene.instances) store.delayMs = 0;
    over();
  }
}

/** The store forgets what it changed before now. */
export class LostHistory extends Fault {
  readonly name = 'lost history';

  inject(scene: Scene): Promise<void> {
    for (const { store } of scene.instances) {
      store.oldestRetainedPosition = store.position;
    }
    return Promise.resolve();
  }
}
