/** In-process instances whose membership runs over a memory network. */
import {
  InstanceRegistry,
  Kernel,
  MemoryLog,
  PeerMesh,
} from '@medlarlever/core';
import type { InstanceRecord } from '@medlarlever/core';
import type { MemoryNetwork } from '@medlarlever/stand-ins';

import { createSeededRandom } from '../shared/seeded-random.js';

/** An instance with its membership components. */
export interface MembershipInstance {
  readonly record: InstanceRecord;
  readonly registry: InstanceRegistry;
  readonly mesh: PeerMesh;
  readonly kernel: Kernel;
  readonly log: MemoryLog;
}

const createInstanceRecord = (
  index: number,
  dataCenterCount: number,
): InstanceRecord => ({
  name: `entry-${String(index).padStart(3, '0')}`,
  dataCenter: `dc-${index % dataCenterCount}`,
  incarnation: `incarnation-${index}`,
  address: `10.0.${Math.floor(index / 250)}.${index % 250}:8082`,
  state: 'live',
  revision: 0,
  startedAtMs: Date.now(),
  version: 0,
});

/** Size, network and seed of a group of instances. */
export interface InstanceGroupOptions {
  readonly instanceCount: number;
  readonly dataCenterCount: number;
  readonly network: MemoryNetwork;
  readonly seed: number;
}

/** Creates instances whose seed addresses are those of the first three. */
export const createInstances = (
  options: InstanceGroupOptions,
): MembershipInstance[] => {
  const { instanceCount, dataCenterCount, network, seed } = options;
  const records = Array.from({ length: instanceCount }, (_, index) =>
    createInstanceRecord(index, dataCenterCount),
  );
  const seedAddresses = records.slice(0, 3).map(({ address }) => address);
  return records.map((record, index) =>
    createInstance(
      record,
      seedAddresses,
      network,
      createSeededRandom(seed + index),
    ),
  );
};

const createInstance = (
  record: InstanceRecord,
  seedAddresses: readonly string[],
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
    listSeedAddresses: () => seedAddresses,
    connectPeer: peer => network.connectPeer(record, peer),
  });
  mesh.registerMethods(kernel);
  network.attachPeer(record.address, kernel.peerMethods);
  return { record, registry, mesh, kernel, log };
};
