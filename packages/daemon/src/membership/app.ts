/**
 * Registers the connections and heartbeats between instances, the fleet watcher
 * and the directory of targets.
 */
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

import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  configurationHolderToken,
  fleetDirectoryToken,
  fleetListToken,
  fleetWatcherToken,
  incarnationToken,
  logToken,
  peerMeshToken,
  metricsRegistryToken,
  peerServerToken,
  randomSourceToken,
  instanceRegistryToken,
  settingsToken,
  targetFactoryToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { PeerController } from './peer-controller.js';

/** Notifies peers that a target starts or stops leaving the fleet. */
const leavingMethodName = 'directory.leaving';
const leavingParamsSchema = z.object({
  target: z.string(),
  leaving: z.boolean(),
});

/** Creates this instance's own record in the instance registry. */
const createSelfRecord = (kernel: Kernel): InstanceRecord => {
  const { instance, listen } = kernel.get(settingsToken);
  return {
    name: instance.name,
    dataCenter: instance.data_center,
    incarnation: kernel.get(incarnationToken),
    address: listen.peer,
    state: 'live',
    revision: 0,
    startedAtMs: Date.now(),
    version: 0,
  };
};

const createPeerMesh = (kernel: Kernel): PeerMesh => {
  const { instance, peers } = kernel.get(settingsToken);
  const fleetWatcher = kernel.get(fleetWatcherToken);
  const sentBytesCounter = new Counter({
    name: 'medlarlever_peer_sent_bytes_total',
    help: 'Bytes of message bodies sent to peers',
    registers: [kernel.get(metricsRegistryToken)],
  });
  return new PeerMesh({
    registry: kernel.get(instanceRegistryToken),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
    listSeedAddresses: () => [
      ...peers.seeds,
      ...fleetWatcher.members
        .filter(member => member.kind === 'entry' && member.state !== 'gone')
        .map(member => member.address),
    ],
    connectPeer: record =>
      new JsonRpcPeer({
        ...record,
        secret: peers.secret,
        self: instance.name,
        onMessageSent: bytes => {
          sentBytesCounter.inc(bytes);
        },
      }),
  });
};

const createDirectory = (kernel: Kernel): FleetTargetDirectory =>
  new FleetTargetDirectory({
    dataCenter: kernel.get(settingsToken).instance.data_center,
    factory: kernel.get(targetFactoryToken),
    log: kernel.get(logToken),
    onLeavingChange: (target, isLeaving) => {
      kernel
        .get(peerMeshToken)
        .broadcast(leavingMethodName, { target, leaving: isLeaving });
    },
  });

const registerPeerMethods = (kernel: DaemonKernel): void => {
  kernel.registerPeerMethod(leavingMethodName, params => {
    const { target, leaving } = leavingParamsSchema.parse(params);
    const directory = kernel.get(fleetDirectoryToken);
    if (leaving) directory.markLeaving(target, 'peer');
    else directory.clearLeaving(target, 'peer');
    return Promise.resolve(Right(null));
  });
};

/**
 * Connects the components at start. When the fleet list changes, updates the
 * directory and removes from the registry the instances that are `gone`. When
 * the configuration changes, updates the revision that this instance announces.
 * Polls the fleet list once before it returns.
 */
const startMembership = async (kernel: DaemonKernel): Promise<void> => {
  const fleetWatcher = kernel.get(fleetWatcherToken);
  const registry = kernel.get(instanceRegistryToken);
  const directory = kernel.get(fleetDirectoryToken);
  fleetWatcher.onChange(members => {
    directory.updateMembers(members);
    for (const record of registry.listInstances()) {
      if (fleetWatcher.isGone(record.incarnation)) {
        registry.removeIncarnation(record.name, record.incarnation);
      }
    }
  });
  kernel.get(configurationHolderToken).onChange(({ revision }) => {
    registry.updateSelf({ revision });
  });
  await fleetWatcher.pollOnce();
  void fleetWatcher.pollUntilStopped();
  void kernel.get(peerMeshToken).maintainUntilStopped();
};

registerFeature('membership', kernel => {
  kernel.provide(
    instanceRegistryToken,
    resolver => new InstanceRegistry(createSelfRecord(resolver)),
  );
  kernel.provide(
    fleetWatcherToken,
    resolver =>
      new FleetWatcher({
        fleetList: resolver.get(fleetListToken),
        log: resolver.get(logToken),
        random: resolver.get(randomSourceToken),
      }),
  );
  kernel.provide(peerMeshToken, createPeerMesh);
  kernel.provide(fleetDirectoryToken, createDirectory);
  kernel.provide(peerServerToken, () => {
    kernel.get(peerMeshToken).registerMethods(kernel);
    return new PeerServer(kernel.collectPeerMethods());
  });
  kernel.addController('peer', PeerController);
  registerPeerMethods(kernel);
  kernel.addLifecycleHook({
    name: 'membership',
    rank: startOrder.membership,
    start: () => startMembership(kernel),
    stop: async () => {
      kernel.get(fleetWatcherToken).stop();
      await kernel.get(peerMeshToken).stop();
    },
  });
});
