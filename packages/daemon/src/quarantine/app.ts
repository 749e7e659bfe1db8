/** Registers the quarantine of requests that crash their targets. */
import { TableQuarantine } from '@medlarlever/core';

import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  directoryPart,
  fleetWatcherPart,
  incarnationPart,
  logPart,
  meshPart,
  quarantinePart,
  randomPart,
  settingsPart,
  tablePart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

const createQuarantine = (kernel: DaemonKernel): TableQuarantine => {
  const watcher = kernel.get(fleetWatcherPart);
  const directory = kernel.get(directoryPart);
  return new TableQuarantine({
    table: kernel.get(tablePart),
    peers: kernel.get(meshPart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
    instance: kernel.get(settingsPart).instance.name,
    incarnation: kernel.get(incarnationPart),
    isGone: (_instance, incarnation) => watcher.isGone(incarnation),
    findIncarnation: target =>
      directory
        .findTarget(target)
        .map(entry => entry.target.incarnation)
        .extract(),
  });
};

registerApp('quarantine', kernel => {
  kernel.provide(quarantinePart, () => createQuarantine(kernel));
  kernel.deferMethods(() => kernel.get(quarantinePart).getPeerMethods());
  kernel.addLifecycleHook({
    name: 'quarantine',
    rank: startRank.control,
    start: async () => {
      await kernel.get(quarantinePart).start();
    },
    stop: () => {
      kernel.get(quarantinePart).stop();
      return Promise.resolve();
    },
  });
});
