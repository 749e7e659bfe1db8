/** Signals to the daemons: planned stops, kills, pauses, reloads, clocks. */
import type {
  FaultSignal,
  InstanceProcess,
} from '../processes/instance-process.js';
import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** Ends the instance and starts it again; the rest of a series goes on. */
const restartInstance = async (
  scene: SoakRun,
  random: SeededRandom,
  instance: InstanceProcess,
  signal: 'SIGTERM' | 'SIGKILL',
): Promise<void> => {
  const over = scene.faultLog.beginFault(instance.name, signal);
  await instance.endProcess(signal);
  await waitBetweenSeconds(random, 0, 1.5);
  await instance.start();
  await scene.waitUntilReady(instance);
  over();
};

/** Planned stops one after the other, as in a release. */
export class SequentialStops extends Fault {
  readonly name = 'stops in turn';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const count = random.nextBoolean(0.5) ? 1 : 2;
    const chosen = random.sampleItems(scene.listIdleInstances(), count);
    for (const instance of chosen) {
      await scene.runWithReservedInstance(instance, () =>
        restartInstance(scene, random, instance, 'SIGTERM'),
      );
    }
  }
}

/** Kills of up to all but one instance at the same time. */
export class SimultaneousKills extends Fault {
  readonly name = 'kills';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const most = scene.instances.length - 1;
    const count = Math.ceil(random.nextBetween(0, most));
    const chosen = random.sampleItems(scene.listIdleInstances(), count);
    await Promise.all(
      chosen.map(instance =>
        scene.runWithReservedInstance(instance, () =>
          restartInstance(scene, random, instance, 'SIGKILL'),
        ),
      ),
    );
  }
}

/** A signal that harms one instance for a time, and one that ends the harm. */
abstract class SignalFault extends Fault {
  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const [instance] = random.sampleItems(scene.listIdleInstances(), 1);
    if (instance === undefined) return;
    await scene.runWithReservedInstance(instance, async () => {
      const over = scene.faultLog.beginFault(instance.name, this.name);
      instance.sendSignal(this.startSignal);
      await waitBetweenSeconds(random, 0.3, 5);
      instance.sendSignal(this.endSignal);
      over();
    });
  }

  protected abstract readonly startSignal: FaultSignal;
  protected abstract readonly endSignal: FaultSignal;
}

export class ProcessPause extends SignalFault {
  readonly name = 'pause';
  protected override readonly startSignal = 'SIGSTOP';
  protected override readonly endSignal = 'SIGCONT';
}

/** The time of day steps ahead and back. */
export class ClockStep extends SignalFault {
  readonly name = 'clock step';
  protected override readonly startSignal = 'SIGUSR2';
  protected override readonly endSignal = 'SIGUSR2';
}

/** The settings file changes, mostly with a signal. */
export class SettingsReload extends Fault {
  readonly name = 'reload';

  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const [instance] = random.sampleItems(scene.listIdleInstances(), 1);
    await instance?.reloadSettings();
  }
}
