/** Network faults that the proxies between the processes inject. */
import type { FaultProxy, SilencedDirection } from '../network/fault-proxy.js';
import type { InstanceProcess } from '../processes/instance-process.js';
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

const silencedDirections: readonly SilencedDirection[] = [
  'both',
  'to target',
  'from target',
];
const maxDelayMs = 400;

/**
 * Picks links of the instance: to the store, to callers, to some targets, or to
 * store and targets.
 */
const pickLinks = (
  random: SeededRandom,
  instance: InstanceProcess,
): FaultProxy[] => {
  const targets = instance.targetProxies.listProxies();
  const count = Math.ceil(random.nextBetween(0, targets.length));
  return random.pickItem([
    [instance.storeProxy],
    [instance.callerProxy],
    random.sampleItems(targets, count),
    [instance.storeProxy, ...targets],
  ]);
};

/** A fault on some links of one instance. */
abstract class LinkFault extends Fault {
  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const instance = random.pickItem(run.instances);
    const links = pickLinks(random, instance);
    const endFault = run.faultLog.beginFault(instance.name, this.name);
    await this.applyToLinks(random, links);
    endFault();
  }

  protected abstract applyToLinks(
    random: SeededRandom,
    links: readonly FaultProxy[],
  ): Promise<void>;
}

/**
 * Stops the delivery of bytes on some links, in one or both directions, for a
 * time; connections stay open.
 */
export class LinkSilence extends LinkFault {
  readonly name = 'silent links';

  protected override async applyToLinks(
    random: SeededRandom,
    links: readonly FaultProxy[],
  ) {
    const direction = random.pickItem(silencedDirections);
    for (const link of links) link.setSilencedDirection(direction);
    await waitBetweenSeconds(random, 0.5, 5);
    for (const link of links) link.setSilencedDirection('none');
  }
}

/** Resets the open connections of some links twice in short succession. */
export class LinkReset extends LinkFault {
  readonly name = 'reset links';

  protected override async applyToLinks(
    random: SeededRandom,
    links: readonly FaultProxy[],
  ) {
    for (const link of links) link.resetConnections();
    await waitBetweenSeconds(random, 0, 0.3);
    for (const link of links) link.resetConnections();
  }
}

/** Delays all data on some links for a time. */
export class LinkDelay extends LinkFault {
  readonly name = 'slow links';

  protected override async applyToLinks(
    random: SeededRandom,
    links: readonly FaultProxy[],
  ) {
    const delayMs = random.nextBetween(20, maxDelayMs);
    for (const link of links) link.delayMs = delayMs;
    await waitBetweenSeconds(random, 0.5, 5);
    for (const link of links) link.delayMs = 0;
  }
}
