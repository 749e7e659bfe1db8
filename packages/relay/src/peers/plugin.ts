/** Registers what instances tell each other, and the peers' interface. */
import { InstanceRegistry, PeerLink, PeerMesh } from '@medlarlever/core';
import type { Kernel, Plugin } from '@medlarlever/core';

import { closeSoon } from '../kernel/close-timeout.js';
import {
  crashesPart,
  demandPart,
  incarnationPart,
  instanceCountPart,
  instanceRowsPart,
  logPart,
  meshPart,
  newsPart,
  randomPart,
  registryPart,
  roleNewsPart,
  routesPart,
  rowNewsPart,
  servicesPart,
  settingsPart,
  snapshotsPart,
  stoppingPart,
  tablePart,
  targetsPart,
  topologyPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';
import { openPeerInterface } from '../server/peer-interface.js';

import { InstanceRows } from './instance-directory.js';
import { LoadNews } from './load-exchange.js';
import { MeshTopology } from './peer-topology.js';
import { Snapshots } from './peer-snapshots.js';

/**
 * Instances that are assumed while the store has not told how many there are:
 * a share that is too small costs less than one that is too large.
 */
const fewestInstances = 16;

const peerAddress = (kernel: Kernel): string => {
  const { host, port } = kernel.get(settingsPart).current.peers;
  return `${host}:${port}`;
};

const createRegistry = (kernel: Kernel): InstanceRegistry => {
  const { instance, dataCenter } = kernel.get(settingsPart).current;
  return new InstanceRegistry({
    name: instance,
    dataCenter,
    incarnation: kernel.get(incarnationPart),
    address: peerAddress(kernel),
    state: 'live',
    revision: 0,
    startedAtMs: Date.now(),
    version: 0,
  });
};

const createMesh = (kernel: Kernel): PeerMesh => {
  const settings = kernel.get(settingsPart);
  const rows = kernel.get(instanceRowsPart);
  return new PeerMesh({
    registry: kernel.get(registryPart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
    contacts: () => [
      ...new Set([...settings.current.contacts, ...rows.contacts]),
    ],
    // The platform lets nobody but instances reach the peers' interface.
    connect: record =>
      new PeerLink({ ...record, secret: '', self: settings.current.instance }),
  });
};

const createNews = (kernel: Kernel): LoadNews =>
  new LoadNews({
    self: kernel.get(settingsPart).current.instance,
    topology: kernel.get(topologyPart),
    targets: kernel.get(targetsPart),
    crashes: kernel.get(crashesPart),
    services: kernel.get(servicesPart),
    demand: kernel.get(demandPart),
    revision: () => kernel.get(routesPart).version,
    onNewer: from => {
      void kernel.get(snapshotsPart).ask(from);
    },
  });

const createRows = (kernel: Kernel): InstanceRows =>
  new InstanceRows({
    table: kernel.get(tablePart),
    name: kernel.get(settingsPart).current.instance,
    address: peerAddress(kernel),
    random: kernel.get(randomPart),
    log: kernel.get(logPart),
  });

/**
 * Every instance ever heard of: one that is cut off must not take the share of
 * the others, and neither must one that knows nobody yet.
 */
const instanceCount = (kernel: Kernel): number => {
  const { names } = kernel.get(instanceRowsPart);
  const heard = kernel.get(registryPart).all();
  const known = new Set([...heard.map(({ name }) => name), ...names]).size;
  return names.length > 0 ? known : Math.max(known, fewestInstances);
};

/** An instance that is behind, or knows no target, asks its neighbours. */
const watchPeers = (kernel: Kernel): void => {
  const { instance } = kernel.get(settingsPart).current;
  kernel.get(registryPart).onChange(({ name, revision }) => {
    if (name === instance) return;
    const behind = revision > kernel.get(routesPart).version;
    if (behind || kernel.get(targetsPart).targetCount === 0) {
      void kernel.get(snapshotsPart).ask(name);
    }
  });
};

const openPeers = async (kernel: Kernel): Promise<() => Promise<void>> => {
  kernel.get(meshPart).register(kernel);
  kernel.get(newsPart).register(kernel);
  kernel.get(snapshotsPart).register(kernel);
  kernel.get(roleNewsPart).register(kernel);
  kernel.get(rowNewsPart).register(kernel);
  const close = await openPeerInterface({
    kernel,
    log: kernel.get(logPart),
    ...kernel.get(settingsPart).current.peers,
  });
  const { signal } = kernel.get(stoppingPart);
  void kernel.get(meshPart).run();
  void kernel.get(newsPart).run(signal);
  void kernel.get(instanceRowsPart).run(signal);
  watchPeers(kernel);
  return close;
};

export const newsApp: Plugin = {
  name: 'news',
  register: kernel => {
    let close: () => Promise<void> = () => Promise.resolve();
    kernel.provide(registryPart, createRegistry);
    kernel.provide(instanceRowsPart, createRows);
    kernel.provide(meshPart, createMesh);
    kernel.provide(
      topologyPart,
      k => new MeshTopology(k.get(registryPart), () => k.get(meshPart)),
    );
    kernel.provide(newsPart, createNews);
    kernel.provide(instanceCountPart, k => () => instanceCount(k));
    kernel.provide(
      snapshotsPart,
      k =>
        new Snapshots({
          mesh: () => k.get(meshPart),
          routes: k.get(routesPart),
          targets: k.get(targetsPart),
          log: k.get(logPart),
        }),
    );
    kernel.step({
      name: 'peers',
      rank: startRank.peers,
      start: async () => {
        close = await openPeers(kernel);
      },
      stop: async () => {
        await closeSoon(close());
        await closeSoon(kernel.get(meshPart).stop());
      },
    });
  },
};
