/** In-process instances that know each other over a memory network. */
import {
  InstanceRegistry,
  Kernel,
  MemoryLog,
  PeerMesh,
} from '@medlarlever/core';
import type { InstanceRecord } from '@medlarlever/core';
import type { MemoryNetwork } from '@medlarlever/stand-ins';

import { seededRandom } from '../shared/seeded-random.js';

export interface Instance {
  readonly record: InstanceRecord;
  readonly registry: InstanceRegistry;
  readonly mesh: PeerMesh;
  readonly kernel: Kernel;
  readonly log: MemoryLog;
}

const recordOf = (index: number, dataCenters: number): InstanceRecord => ({
  name: `entry-${String(index).padStart(3, '0')}`,
  dataCenter: `dc-${index % dataCenters}`,
  incarnation: `incarnation-${index}`,
  address: `10.0.${Math.floor(index / 250)}.${index % 250}:8082`,
  state: 'live',
  revision: 0,
  startedAtMs: Date.now(),
  version: 0,
});

export interface InstanceOptions {
  readonly count: number;
  readonly dataCenters: number;
  readonly network: MemoryNetwork;
  readonly seed: number;
}

/** Instances that find each other through the first three as contacts. */
export const createInstances = (options: InstanceOptions): Instance[] => {
  const { count, dataCenters, network, seed } = options;
  const records = Array.from({ length: count }, (_, index) =>
    recordOf(index, dataCenters),
  );
  const contacts = records.slice(0, 3).map(({ address }) => address);
  return records.map((record, index) =>
    createInstance(record, contacts, network, seededRandom(seed + index)),
  );
};

const createInstance = (
  record: InstanceRecord,
  contacts: readonly string[],
  network: MemoryNetwork,
  random: () => number,
): Instance => {
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
