/** Instances that reach no target, while callers, the store and the others reach them. */
import type { FaultProxy } from '../network/fault-proxy.js';
import type { InstanceProcess } from '../processes/instance-process.js';
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import { Fault } from './fault.js';

/** How the connections to targets fail; `refused`: only new ones do. */
type CutMode = 'silent' | 'reset' | 'refused';
const cutModes: readonly CutMode[] = ['silent', 'reset', 'refused'];

/** Targets that start meanwhile are cut off as well, at this interval. */
const applyIntervalMs = 50;

const cutLink = async (link: FaultProxy, mode: CutMode): Promise<void> => {
  if (mode === 'silent') {
    link.setSilencedDirection('both');
    return;
  }
  await link.refuseConnections();
  if (mode === 'reset') link.resetConnections();
};

const healLink = async (link: FaultProxy, mode: CutMode): Promise<void> => {
  if (mode === 'silent') link.setSilencedDirection('none');
  else await link.acceptConnections();
};

/** Cuts one or more instances, but not all, off from all targets. */
export class TargetCut extends Fault {
  readonly name = 'cut off from targets';

  async inject(run: FaultScene, random: SeededRandom): Promise<void> {
    const count = Math.ceil(random.nextBetween(0, run.instances.length - 1));
    const instances = random.sampleItems(run.instances, count);
    const mode = random.pickItem(cutModes);
    const durationMs = random.nextBetween(5_000, 10_000);
    const endCut = run.startTargetCut(instances.map(({ name }) => name));
    const endFaults = instances.map(({ name }) =>
      run.faultLog.beginFault(name, this.name),
    );
    await this.#keepCut(instances, mode, performance.now() + durationMs);
    endCut();
    for (const endFault of endFaults) endFault();
  }

  async #keepCut(
    instances: readonly InstanceProcess[],
    mode: CutMode,
    untilMs: number,
  ): Promise<void> {
    const cutLinks = new Set<FaultProxy>();
    while (performance.now() < untilMs) {
      const links = instances.flatMap(({ targetProxies }) =>
        targetProxies.listProxies(),
      );
      for (const link of links.filter(item => !cutLinks.has(item))) {
        cutLinks.add(link);
        await cutLink(link, mode);
      }
      await new Promise(resolve => setTimeout(resolve, applyIntervalMs));
    }
    for (const link of cutLinks) await healLink(link, mode);
  }
}
