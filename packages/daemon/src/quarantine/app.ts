/** Registers the quarantine of requests that crash their targets. */
import { TableQuarantine } from '@medlarlever/core';

import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  fleetDirectoryToken,
  fleetWatcherToken,
  incarnationToken,
  logToken,
  peerMeshToken,
  quarantineToken,
  randomSourceToken,
  settingsToken,
  tableToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

const createQuarantine = (kernel: DaemonKernel): TableQuarantine => {
  const fleetWatcher = kernel.get(fleetWatcherToken);
  const directory = kernel.get(fleetDirectoryToken);
  return new TableQuarantine({
    table: kernel.get(tableToken),
    peers: kernel.get(peerMeshToken),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
    instance: kernel.get(settingsToken).instance.name,
    incarnation: kernel.get(incarnationToken),
    isGone: (_instance, incarnation) => fleetWatcher.isGone(incarnation),
    findIncarnation: target =>
      directory
        .findTarget(target)
        .map(entry => entry.target.incarnation)
        .extract(),
  });
};

registerFeature('quarantine', kernel => {
  kernel.provide(quarantineToken, () => createQuarantine(kernel));
  kernel.deferPeerMethods(() => kernel.get(quarantineToken).getPeerMethods());
  kernel.addLifecycleHook({
    name: 'quarantine',
    rank: startOrder.controlLoops,
    start: async () => {
      await kernel.get(quarantineToken).start();
    },
    stop: () => {
      kernel.get(quarantineToken).stop();
      return Promise.resolve();
    },
  });
});
