/** In-process instances that know each other over a memory network. */
import {
  InstanceRegistry,
  Kernel,
  MemoryLog,
  PeerMesh,
} from '@medlarlever/core';
import type { InstanceRecord } from '@medlarlever/core';
import type { MemoryNetwork } from '@medlarlever/stand-ins';

import { createSeededRandom } from '../shared/seeded-random.js';

export interface MembershipInstance {
  readonly record: InstanceRecord;
  readonly registry: InstanceRegistry;
  readonly mesh: PeerMesh;
  readonly kernel: Kernel;
  readonly log: MemoryLog;
}

const createInstanceRecord = (
  index: number,
  dataCenters: number,
): InstanceRecord => ({
  name: `entry-${String(index).padStart(3, '0')}`,
  dataCenter: `dc-${index % dataCenters}`,
  incarnation: `incarnation-${index}`,
  address: `10.0.${Math.floor(index / 250)}.${index % 250}:8082`,
  state: 'live',
  revision: 0,
  startedAtMs: Date.now(),
  version: 0,
});

export interface InstanceGroupOptions {
  readonly instanceCount: number;
  readonly dataCenterCount: number;
  readonly network: MemoryNetwork;
  readonly seed: number;
}

/** Instances that find each other through the first three as contacts. */
export const createInstances = (
  options: InstanceGroupOptions,
): MembershipInstance[] => {
  const {
    instanceCount: count,
    dataCenterCount: dataCenters,
    network,
    seed,
  } = options;
  const records = Array.from({ length: count }, (_, index) =>
    createInstanceRecord(index, dataCenters),
  );
  const contacts = records.slice(0, 3).map(({ address }) => address);
  return records.map((record, index) =>
    createInstance(record, contacts, network, createSeededRandom(seed + index)),
  );
};

const createInstance = (
  record: InstanceRecord,
  contacts: readonly string[],
  network: MemoryNetwork,
  random: () => number,
): MembershipInstance => {
  const registry = new InstanceRegistry(record);
  const log = new MemoryLog();
  const kernel = new Kernel();
  const mesh = new PeerMesh({
    registry,
    log,
    random,
    listSeedAddresses: () => contacts,
    connectPeer: peer => network.connectPeer(record, peer),
  });
  mesh.registerMethods(kernel);
  network.attachPeer(record.address, kernel.peerMethods);
  return { record, registry, mesh, kernel, log };
};
