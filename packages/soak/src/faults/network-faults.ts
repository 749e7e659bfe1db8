/** Harm to connections by the proxies between the processes. */
import type { FaultProxy, SilencedDirection } from '../network/fault-proxy.js';
import type { InstanceProcess } from '../processes/instance-process.js';
import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault, waitBetweenSeconds } from './fault.js';

const silencedDirections: readonly SilencedDirection[] = [
  'both',
  'to target',
  'from target',
];
const maxDelayMs = 400;

/** Links of the instance: to callers, to the store, to some targets. */
const pickLinks = (
  random: SeededRandom,
  instance: InstanceProcess,
): FaultProxy[] => {
  const targets = instance.targetProxies.listProxies();
  const some = Math.ceil(random.nextBetween(0, targets.length));
  return random.pickItem([
    [instance.storeProxy],
    [instance.callerProxy],
    random.sampleItems(targets, some),
    [instance.storeProxy, ...targets],
  ]);
};

abstract class LinkFault extends Fault {
  async inject(scene: SoakRun, random: SeededRandom): Promise<void> {
    const instance = random.pickItem(scene.instances);
    const links = pickLinks(random, instance);
    const over = scene.faultLog.beginFault(instance.name, this.name);
    await this.applyToLinks(random, links);
    over();
  }

  protected abstract applyToLinks(
    random: SeededRandom,
    links: readonly FaultProxy[],
  ): Promise<void>;
}

export class LinkSilence extends LinkFault {
  readonly name = 'silent links';

  protected override async applyToLinks(
    random: SeededRandom,
    links: readonly FaultProxy[],
  ) {
    const silence = random.pickItem(silencedDirections);
    for (const link of links) link.setSilencedDirection(silence);
    await waitBetweenSeconds(random, 0.5, 5);
    for (const link of links) link.setSilencedDirection('none');
  }
}

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
