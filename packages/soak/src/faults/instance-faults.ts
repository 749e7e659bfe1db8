/** Signals to the daemons: planned stops, kills, pauses, reloads, clocks. */
import type { InstanceProcess } from '../processes/instance-process.js';
import type { Scene } from '../scene/scene.js';
import type { Random } from '../shared/random.js';

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
  await instance.untilReady(scene.stopping);
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

export class Pause extends Fault {
  readonly name = 'pause';

  async inject(scene: Scene, random: Random): Promise<void> {
    const [instance] = random.sample(scene.idleInstances(), 1);
    if (instance === undefined) return;
    await scene.holding(instance, async () => {
      const over = scene.disturbances.begin(instance.name, this.name);
      instance.signal('SIGSTOP');
      await passBetween(random, 0.3, 5);
      instance.signal('SIGCONT');
      over();
    });
  }
}

/** The settings file changes, mostly with a signal. */
export class Reload extends Fault {
  readonly name = 'reload';

  async inject(scene: Scene, random: Random): Promise<void> {
    const [instance] = random.sample(scene.idleInstances(), 1);
    await instance?.reload();
  }
}

export class ClockStep extends Fault {
  readonly name = 'clock step';

  async inject(scene: Scene, random: Random): Promise<void> {
    const [instance] = random.sample(scene.idleInstances(), 1);
    if (instance === undefined) return;
    await scene.holding(instance, async () => {
      const over = scene.disturbances.begin(instance.name, this.name);
      instance.signal('SIGUSR2');
      await passBetween(random, 0.5, 4);
      instance.signal('SIGUSR2');
      over();
    });
  }
}
