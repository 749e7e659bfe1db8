/** Signals to the daemons: planned stops, kills, pauses, reloads, clocks. */
import type {
  HarmfulSignal,
  InstanceProcess,
} from '../processes/instance-process.js';
import type { Scene } from '../run/soak-run.js';
import type { Random } from '../shared/seeded-random.js';

import { Fault, passBetween } from './fault.js';

/** Ends the instance and starts it again; the rest of a series goes on. */
const restart = async (
  scene: Scene,
  random: Random,
  instance: InstanceProcess,
  signal: 'SIGTERM' | 'SIGKILL',
): Promise<void> => {
  const over = scene.disturbances.begin(instance.name, signal);
  await instance.end(signal);
  await passBetween(random, 0, 1.5);
  await instance.start();
  await scene.untilReady(instance);
  over();
};

/** Planned stops one after the other, as in a release. */
export class StopsInTurn extends Fault {
  readonly name = 'stops in turn';

  async inject(scene: Scene, random: Random): Promise<void> {
    const count = random.chance(0.5) ? 1 : 2;
    const chosen = random.sample(scene.idleInstances(), count);
    for (const instance of chosen) {
      await scene.holding(instance, () =>
        restart(scene, random, instance, 'SIGTERM'),
      );
    }
  }
}

/** Kills of up to all but one instance at the same time. */
export class Kills extends Fault {
  readonly name = 'kills';

  async inject(scene: Scene, random: Random): Promise<void> {
    const most = scene.instances.length - 1;
    const count = Math.ceil(random.between(0, most));
    const chosen = random.sample(scene.idleInstances(), count);
    await Promise.all(
      chosen.map(instance =>
        scene.holding(instance, () =>
          restart(scene, random, instance, 'SIGKILL'),
        ),
      ),
    );
  }
}

/** A signal that harms one instance for a time, and one that ends the harm. */
abstract class SignalledFault extends Fault {
  async inject(scene: Scene, random: Random): Promise<void> {
    const [instance] = random.sample(scene.idleInstances(), 1);
    if (instance === undefined) return;
    await scene.holding(instance, async () => {
      const over = scene.disturbances.begin(instance.name, this.name);
      instance.signal(this.first);
      await passBetween(random, 0.3, 5);
      instance.signal(this.last);
      over();
    });
  }

  protected abstract readonly first: HarmfulSignal;
  protected abstract readonly last: HarmfulSignal;
}

export class Pause extends SignalledFault {
  readonly name = 'pause';
  protected override readonly first = 'SIGSTOP';
  protected override readonly last = 'SIGCONT';
}

/** The time of day steps ahead and back. */
export class ClockStep extends SignalledFault {
  readonly name = 'clock step';
  protected override readonly first = 'SIGUSR2';
  protected override readonly last = 'SIGUSR2';
}

/** The settings file changes, mostly with a signal. */
export class Reload extends Fault {
  readonly name = 'reload';

  async inject(scene: Scene, random: Random): Promise<void> {
    const [instance] = random.sample(scene.idleInstances(), 1);
    await instance?.reload();
  }
}
