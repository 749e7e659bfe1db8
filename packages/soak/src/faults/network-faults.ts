/** Harm to connections by the proxies between the processes. */
import type { FaultProxy, Silence } from '../network/fault-proxy.js';
import type { InstanceProcess } from '../processes/instance-process.js';
import type { Scene } from '../run/soak-run.js';
import type { Random } from '../shared/seeded-random.js';

import { Fault, passBetween } from './fault.js';

const silences: readonly Silence[] = ['both', 'to target', 'from target'];
const longestDelayMs = 400;

/** Links of the instance: to callers, to the store, to some targets. */
const pickLinks = (random: Random, instance: InstanceProcess): FaultProxy[] => {
  const targets = instance.targetLinks.all();
  const some = Math.ceil(random.between(0, targets.length));
  return random.pick([
    [instance.storeLink],
    [instance.callerLink],
    random.sample(targets, some),
    [instance.storeLink, ...targets],
  ]);
};

abstract class LinkFault extends Fault {
  async inject(scene: Scene, random: Random): Promise<void> {
    const instance = random.pick(scene.instances);
    const links = pickLinks(random, instance);
    const over = scene.disturbances.begin(instance.name, this.name);
    await this.harm(random, links);
    over();
  }

  protected abstract harm(
    random: Random,
    links: readonly FaultProxy[],
  ): Promise<void>;
}

export class SilentLinks extends LinkFault {
  readonly name = 'silent links';

  protected override async harm(random: Random, links: readonly FaultProxy[]) {
    const silence = random.pick(silences);
    for (const link of links) link.silence(silence);
    await passBetween(random, 0.5, 5);
    for (const link of links) link.silence('none');
  }
}

export class ResetLinks extends LinkFault {
  readonly name = 'reset links';

  protected override async harm(random: Random, links: readonly FaultProxy[]) {
    for (const link of links) link.resetAll();
    await passBetween(random, 0, 0.3);
    for (const link of links) link.resetAll();
  }
}

export class SlowLinks extends LinkFault {
  readonly name = 'slow links';

  protected override async harm(random: Random, links: readonly FaultProxy[]) {
    const delayMs = random.between(20, longestDelayMs);
    for (const link of links) link.delayMs = delayMs;
    await passBetween(random, 0.5, 5);
    for (const link of links) link.delayMs = 0;
  }
}
