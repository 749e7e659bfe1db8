/** Faults of the platform store, for all instances or for a single one. */
import type { StoreBehavior } from '@medlarlever/platform/stand-ins';

import { storeSubject } from '../run/fault-log.js';
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** Ways in which the store fails in an outage. */
const outageModes: readonly StoreBehavior[] = [
  'busy',
  'silent',
  'answers lost',
  'applied late',
];

/** Delay of each store call in milliseconds. */
const storeDelayMs = 250;

/** Makes the store fail in one random way for all instances. */
export class StoreOutage extends Fault {
  readonly name = 'store outage';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const behavior = random.pickItem(outageModes);
    const endFault = run.faultLog.beginFault(storeSubject, behavior);
    for (const { store } of run.instances) store.behavior = behavior;
    await waitBetweenSeconds(random, 0.5, 6);
    for (const { store } of run.instances) store.behavior = 'serving';
    endFault();
  }
}

/** Makes the store fail in one random way for a single instance. */
export class SingleInstanceStoreOutage extends Fault {
  readonly name = 'store outage for one';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const { store, name } = random.pickItem(run.instances);
    const behavior = random.pickItem(outageModes);
    const endFault = run.faultLog.beginFault(name, `store ${behavior}`);
    store.behavior = behavior;
    await waitBetweenSeconds(random, 0.5, 6);
    store.behavior = 'serving';
    endFault();
  }
}

/** Makes the store delay every call of all instances. */
export class StoreDelay extends Fault {
  readonly name = 'slow store';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const endFault = run.faultLog.beginFault(storeSubject, this.name);
    for (const { store } of run.instances) store.delayMs = storeDelayMs;
    await waitBetweenSeconds(random, 0.5, 5);
    for (const { store } of run.instances) store.delayMs = 0;
    endFault();
  }
}

/**
 * Restores the store from a backup that is some seconds old, after a moment in which
 * it is away. The operator and the targets write their rows again afterwards.
 */
export class StoreRestore extends Fault {
  readonly name = 'restored store';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const backup = run.createStoreBackup();
    await waitBetweenSeconds(random, 0.5, 6);
    const endFault = run.faultLog.beginFault(storeSubject, this.name);
    for (const { store } of run.instances) store.behavior = 'silent';
    await waitBetweenSeconds(random, 0, 1);
    run.restoreStore(backup);
    for (const { store } of run.instances) store.behavior = 'serving';
    await waitBetweenSeconds(random, 0.2, 1.5);
    await run.writeLostRows();
    endFault();
  }
}

/** Makes the store drop its history of changes up to the current position. */
export class StoreHistoryLoss extends Fault {
  readonly name = 'lost history';

  inject(run: FaultScene): Promise<void> {
    for (const { store } of run.instances) {
      store.oldestRetainedPosition = store.position;
    }
    return Promise.resolve();
  }
}
