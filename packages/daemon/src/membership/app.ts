/** Registers peers, heartbeats, the fleet list and the directory. */
import {
  FleetTargetDirectory,
  FleetWatcher,
  InstanceRegistry,
  JsonRpcPeer,
  PeerMesh,
  PeerServer,
} from '@medlarlever/core';
import type { InstanceRecord, Kernel } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { Counter } from 'prom-client';
import { z } from 'zod';

import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  configurationPart,
  directoryPart,
  fleetListPart,
  fleetWatcherPart,
  incarnationPart,
  logPart,
  meshPart,
  metricsPart,
  peerServerPart,
  randomPart,
  registryPart,
  settingsPart,
  targetFactoryPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

import { PeerController } from './peer-controller.js';

const leavingMethod = 'directory.leaving';
const leavingSchema = z.object({ target: z.string(), leaving: z.boolean() });

const selfRecord = (kernel: Kernel): InstanceRecord => {
  const { instance, listen } = kernel.get(settingsPart);
  return {
    name: instance.name,
    dataCenter: instance.data_center,
    incarnation: kernel.get(incarnationPart),
    address: listen.peer,
    state: 'live',
    revision: 0,
    startedAtMs: Date.now(),
    version: 0,
  };
};

const createMesh = (kernel: Kernel): PeerMesh => {
  const { instance, peers } = kernel.get(settingsPart);
  const watcher = kernel.get(fleetWatcherPart);
  const sent = new Counter({
    name: 'medlarlever_peer_sent_bytes_total',
    help: 'Bytes of message bodies sent to peers',
    registers: [kernel.get(metricsPart)],
  });
  return new PeerMesh({
    registry: kernel.get(registryPart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
    listSeedAddresses: () => [
      ...peers.seeds,
      ...watcher.members
        .filter(member => member.kind === 'entry' && member.state !== 'gone')
        .map(member => member.address),
    ],
    connectPeer: record =>
      new JsonRpcPeer({
        ...record,
        secret: peers.secret,
        self: instance.name,
        onMessageSent: bytes => {
          sent.inc(bytes);
        },
      }),
  });
};

const createDirectory = (kernel: Kernel): FleetTargetDirectory =>
  new FleetTargetDirectory({
    dataCenter: kernel.get(settingsPart).instance.data_center,
    factory: kernel.get(targetFactoryPart),
    log: kernel.get(logPart),
    onLeavingChange: (target, leaving) => {
      kernel.get(meshPart).broadcast(leavingMethod, { target, leaving });
    },
  });

const registerMethods = (kernel: DaemonKernel): void => {
  kernel.registerPeerMethod(leavingMethod, params => {
    const { target, leaving } = leavingSchema.parse(params);
    const directory = kernel.get(directoryPart);
    if (leaving) directory.markLeaving(target, 'peer');
    else directory.clearLeaving(target, 'peer');
    return Promise.resolve(Right(null));
  });
};

/** Joins fleet, registry, configuration and directory. */
const startFollowing = async (kernel: DaemonKernel): Promise<void> => {
  const watcher = kernel.get(fleetWatcherPart);
  const registry = kernel.get(registryPart);
  const directory = kernel.get(directoryPart);
  watcher.onChange(members => {
    directory.updateMembers(members);
    for (const view of registry.listInstances()) {
      if (watcher.isGone(view.incarnation)) {
        registry.removeIncarnation(view.name, view.incarnation);
      }
    }
  });
  kernel.get(configurationPart).onChange(({ revision }) => {
    registry.updateSelf({ revision });
  });
  await watcher.pollOnce();
  void watcher.pollUntilStopped();
  void kernel.get(meshPart).maintainUntilStopped();
};

registerApp('membership', kernel => {
  kernel.provide(registryPart, k => new InstanceRegistry(selfRecord(k)));
  kernel.provide(
    fleetWatcherPart,
    k =>
      new FleetWatcher({
        fleetList: k.get(fleetListPart),
        log: k.get(logPart),
        random: k.get(randomPart),
      }),
  );
  kernel.provide(meshPart, createMesh);
  kernel.provide(directoryPart, createDirectory);
  kernel.provide(peerServerPart, () => {
    kernel.get(meshPart).registerMethods(kernel);
    return new PeerServer(kernel.collectMethods());
  });
  kernel.controller('peer', PeerController);
  registerMethods(kernel);
  kernel.addLifecycleHook({
    name: 'membership',
    rank: startRank.membership,
    start: () => startFollowing(kernel),
    stop: async () => {
      kernel.get(fleetWatcherPart).stop();
      await kernel.get(meshPart).stop();
    },
  });
});
