/** Tests of membership among in-process instances with a fake clock. */
import FakeTimers from '@sinonjs/fake-timers';
import type { Clock } from '@sinonjs/fake-timers';
import { heartbeatMethod } from '@medlarlever/core';
import { MemoryNetwork } from '@medlarlever/stand-ins';
import test from 'ava';

import { createInstances } from './instances.js';
import type { MembershipInstance } from './instances.js';

/** Milliseconds in which all instances of a small group discover each other. */
const joinTimeMs = 6_000;

const withFakeClock = async (run: (clock: Clock) => Promise<void>) => {
  const clock = FakeTimers.install({ now: 1_000_000 });
  try {
    await run(clock);
  } finally {
    clock.uninstall();
  }
};

const startInstances = (instances: readonly MembershipInstance[]) => {
  for (const { mesh } of instances) void mesh.maintainUntilStopped();
};

const stopInstances = async (
  clock: Clock,
  instances: readonly MembershipInstance[],
) => {
  const allStopped = Promise.all(instances.map(({ mesh }) => mesh.stop()));
  await clock.tickAsync(5_000);
  await allStopped;
};

const listInstanceNames = ({ registry }: MembershipInstance) =>
  registry
    .listInstances()
    .map(({ name }) => name)
    .sort();

test.serial(
  'all instances discover each other through a few seed addresses',
  t =>
    withFakeClock(async clock => {
      const network = new MemoryNetwork();
      const instances = createInstances({
        instanceCount: 8,
        dataCenterCount: 3,
        network,
        seed: 1,
      });
      startInstances(instances);
      await clock.tickAsync(joinTimeMs);
      const allNames = instances.map(({ record }) => record.name).sort();
      for (const instance of instances)
        t.deepEqual(listInstanceNames(instance), allNames);
      await stopInstances(clock, instances);
    }),
);

test.serial('a changed record reaches all of 40 instances within 5 s', t =>
  withFakeClock(async clock => {
    const network = new MemoryNetwork();
    const instances = createInstances({
      instanceCount: 40,
      dataCenterCount: 5,
      network,
      seed: 2,
    });
    startInstances(instances);
    await clock.tickAsync(4 * joinTimeMs);
    instances[0]?.registry.updateSelf({ revision: 7 });
    await clock.tickAsync(5_000);
    const name = instances[0]?.record.name ?? '';
    const outdatedInstances = instances.filter(
      ({ registry }) => registry.findInstance(name)?.revision !== 7,
    );
    t.deepEqual(outdatedInstances.map(listInstanceNames), []);
    await stopInstances(clock, instances);
  }),
);

test.serial(
  'an unreachable instance is suspected until it can be reached again',
  t =>
    withFakeClock(async clock => {
      const network = new MemoryNetwork();
      const instances = createInstances({
        instanceCount: 3,
        dataCenterCount: 1,
        network,
        seed: 3,
      });
      const [first, second] = instances;
      if (first === undefined || second === undefined)
        throw new Error('createInstances returned fewer than 2 instances');
      startInstances(instances);
      await clock.tickAsync(joinTimeMs);
      network.cutLink(first.record.address, second.record.address);
      network.cutLink(second.record.address, first.record.address);
      await clock.tickAsync(10_000);
      const stateAtFirst = () =>
        first.registry.findInstance(second.record.name)?.state;
      t.is(stateAtFirst(), 'suspected');
      network.restoreLinks();
      await clock.tickAsync(5_000);
      t.is(stateAtFirst(), 'live');
      await stopInstances(clock, instances);
    }),
);

test.serial(
  'a restarted instance replaces its earlier incarnation in the registry',
  t => {
    const network = new MemoryNetwork();
    const [instance] = createInstances({
      instanceCount: 1,
      dataCenterCount: 1,
      network,
      seed: 4,
    });
    if (instance === undefined)
      throw new Error('createInstances returned no instance');
    const { registry, record } = instance;
    const oldRecord = { ...record, name: 'other', startedAtMs: 1, version: 9 };
    const nextRecord = {
      ...oldRecord,
      incarnation: 'next',
      startedAtMs: 2,
      version: 0,
    };
    registry.mergeRecords([nextRecord]);
    registry.mergeRecords([oldRecord]);
    t.is(registry.findInstance('other')?.incarnation, 'next');
    t.false(registry.removeIncarnation('other', oldRecord.incarnation));
    t.true(registry.removeIncarnation('other', 'next'));
  },
);

test.serial(
  'getPeer keeps one connection per incarnation of an instance',
  t => {
    const network = new MemoryNetwork();
    const [first, second] = createInstances({
      instanceCount: 2,
      dataCenterCount: 1,
      network,
      seed: 5,
    });
    if (first === undefined || second === undefined)
      throw new Error('createInstances returned fewer than 2 instances');
    const { name } = second.record;
    first.registry.mergeRecords([second.record]);
    const peer = first.mesh.getPeer(name).extract();
    t.is(first.mesh.getPeer(name).extract(), peer);
    const startedAtMs = second.record.startedAtMs + 1;
    const nextRecord = { ...second.record, incarnation: 'next', startedAtMs };
    first.registry.mergeRecords([nextRecord]);
    t.is(first.mesh.getPeer(name).extract()?.incarnation, 'next');
  },
);

test.serial(
  'two instances without news exchange records less than once a second, whoever begins',
  t =>
    withFakeClock(async clock => {
      const network = new MemoryNetwork();
      const instances = createInstances({
        instanceCount: 2,
        dataCenterCount: 1,
        network,
        seed: 1,
      });
      let heartbeatCount = 0;
      for (const { record, kernel } of instances) {
        const methods = new Map(kernel.peerMethods);
        const handler = methods.get(heartbeatMethod);
        methods.set(heartbeatMethod, (params, from) => {
          heartbeatCount += 1;
          return handler?.(params, from) ?? Promise.reject(new Error('none'));
        });
        network.attachPeer(record.address, methods);
      }
      startInstances(instances);
      await clock.tickAsync(joinTimeMs);
      heartbeatCount = 0;
      await clock.tickAsync(20_000);
      t.true(heartbeatCount <= 20, `${heartbeatCount} heartbeats in 20 s`);
      t.true(heartbeatCount >= 8, `${heartbeatCount} heartbeats in 20 s`);
      for (const { registry } of instances)
        t.false(
          registry.listInstances().some(({ state }) => state === 'suspected'),
        );
      await stopInstances(clock, instances);
    }),
);
