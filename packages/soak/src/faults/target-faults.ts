/**
 * Faults of targets: planned replacement, crash and failure of part of the
 * requests.
 */
import { createNoFaults } from '@medlarlever/platform/stand-ins';
import type { TargetFaults } from '@medlarlever/platform/stand-ins';

import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

/** Adds a target, then drains another target of the same service and role. */
export class TargetReplacement extends Fault {
  readonly name = 'replacement';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const [leaving] = random.sampleItems(
      run.targetFleet.listRedundantTargets(),
      1,
    );
    if (leaving === undefined) return;
    await run.targetFleet.addTarget(leaving.service, leaving.role);
    await waitBetweenSeconds(random, 0.2, 1);
    await run.targetFleet.drainTarget(leaving);
  }
}

/** Crashes a target and starts a replacement after a short time. */
export class TargetCrash extends Fault {
  readonly name = 'crash';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const [target] = random.sampleItems(
      run.targetFleet.listRedundantTargets(),
      1,
    );
    if (target === undefined) return;
    const endFault = run.faultLog.beginFault(target.id, this.name);
    await run.targetFleet.crashTarget(target, random.nextBetween(200, 2_500));
    endFault();
  }
}

/** Fault settings of a gray failure; shares are parts of the requests. */
const grayFailureModes: readonly Partial<TargetFaults>[] = [
  { hangShare: 0.3 },
  { resetShare: 0.4 },
  { truncatedResponseShare: 0.5 },
  { lostResponseShare: 0.4 },
  { extraResponseShare: 0.5 },
  { slowdownFactor: 8 },
  {
    truncatedResponseShare: 0.2,
    lostResponseShare: 0.2,
    extraResponseShare: 0.2,
  },
];

/**
 * Makes a target hang on, reset, truncate, lose, duplicate or delay some of its
 * responses.
 */
export class TargetGrayFailure extends Fault {
  readonly name = 'grey target';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const target = random.pickItem(run.targetFleet.listTargets());
    const endFault = run.faultLog.beginFault(target.id, this.name);
    target.faults = {
      ...createNoFaults(),
      ...random.pickItem(grayFailureModes),
    };
    await waitBetweenSeconds(random, 1, 6);
    target.faults = createNoFaults();
    endFault();
  }
}

/** Adds a target, then ends another one that says so in its responses alone. */
export class DepartureByResponse extends Fault {
  readonly name = 'departure by response';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const [leaving] = random.sampleItems(
      run.targetFleet.listRedundantTargets(),
      1,
    );
    if (leaving === undefined || leaving.announcesLeaving) return;
    await run.targetFleet.addTarget(leaving.service, leaving.role);
    await waitBetweenSeconds(random, 0.2, 1);
    await run.targetFleet.leaveByResponses(leaving);
  }
}

/** Makes a target refuse all requests for a while and ask for pauses. */
export class TargetPause extends Fault {
  readonly name = 'pause of a target';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const target = random.pickItem(run.targetFleet.listTargets());
    target.pauseMs = Math.round(random.nextBetween(300, 3_000));
    await waitBetweenSeconds(random, 0.5, 4);
    target.pauseMs = 0;
  }
}

/** Values of a limit that no instance can read; they leave the last one in force. */
const unreadableLimits: readonly string[] = ['-1', 'many', '2 3'];

/** Makes a target name a limit for all instances, which may change in between. */
export class TargetLimit extends Fault {
  readonly name = 'limit of a target';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const target = random.pickItem(run.targetFleet.listTargets());
    target.requestLimit = random.nextBetween(0, 4).toFixed(1);
    await waitBetweenSeconds(random, 5, 9);
    const next = random.nextBoolean(0.2)
      ? random.pickItem(unreadableLimits)
      : random.nextBetween(0, 8).toFixed(2);
    if (random.nextBoolean(0.5)) {
      target.requestLimit = next;
      await waitBetweenSeconds(random, 4, 8);
    }
    target.requestLimit = undefined;
  }
}
