/**
 * Faults by signals to the instances: stops, kills, pauses, settings reloads
 * and clock steps.
 */
import type {
  FaultSignal,
  InstanceProcess,
} from '../processes/instance-process.js';
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/**
 * Ends the instance with the signal, starts it again and waits until it is
 * ready.
 */
export const restartInstance = async (
  run: FaultScene,
  random: SeededRandom,
  instance: InstanceProcess,
  signal: 'SIGTERM' | 'SIGKILL',
): Promise<void> => {
  const endFault = run.faultLog.beginFault(instance.name, signal);
  await instance.endProcess(signal);
  await waitBetweenSeconds(random, 0, 1.5);
  await instance.start();
  await run.waitUntilReady(instance);
  endFault();
};

/**
 * Stops and restarts instances one after the other, as in a rolling release.
 */
export class SequentialStops extends Fault {
  readonly name = 'stops in turn';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const count = random.nextBoolean(0.5) ? 1 : 2;
    const selectedInstances = random.sampleItems(
      run.listIdleInstances(),
      count,
    );
    for (const instance of selectedInstances) {
      await run.runWithReservedInstance(instance, () =>
        restartInstance(run, random, instance, 'SIGTERM'),
      );
    }
  }
}

/** Kills up to all but one of the instances at the same time, by SIGKILL. */
export class SimultaneousKills extends Fault {
  readonly name = 'kills';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const maxCount = run.instances.length - 1;
    const count = Math.ceil(random.nextBetween(0, maxCount));
    const selectedInstances = random.sampleItems(
      run.listIdleInstances(),
      count,
    );
    await Promise.all(
      selectedInstances.map(instance =>
        run.runWithReservedInstance(instance, () =>
          restartInstance(run, random, instance, 'SIGKILL'),
        ),
      ),
    );
  }
}

/** A fault that one signal starts and another ends, on one instance. */
abstract class SignalFault extends Fault {
  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const [instance] = random.sampleItems(run.listIdleInstances(), 1);
    if (instance === undefined) return;
    await run.runWithReservedInstance(instance, async () => {
      const endFault = run.faultLog.beginFault(instance.name, this.name);
      instance.sendSignal(this.startSignal);
      await waitBetweenSeconds(random, 0.3, 5);
      instance.sendSignal(this.endSignal);
      endFault();
    });
  }

  protected abstract readonly startSignal: FaultSignal;
  protected abstract readonly endSignal: FaultSignal;
}

/** Pauses the process of one instance. */
export class ProcessPause extends SignalFault {
  readonly name = 'pause';
  protected override readonly startSignal = 'SIGSTOP';
  protected override readonly endSignal = 'SIGCONT';
}

/** Steps the wall clock of one instance forward, then back. */
export class ClockStep extends SignalFault {
  readonly name = 'clock step';
  protected override readonly startSignal = 'SIGUSR2';
  protected override readonly endSignal = 'SIGUSR2';
}

/** Rewrites the settings file of one instance and sends it SIGHUP. */
export class SettingsReload extends Fault {
  readonly name = 'reload';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const [instance] = random.sampleItems(run.listIdleInstances(), 1);
    await instance?.reloadSettings();
  }
}
