import type { InstanceRegistry } from '@medlarlever/core';
import test from 'ava';

import {
  createScalingDeployment,
  leaseDurationMs,
  scaledService,
  startupMs,
} from '../fixtures/scaling-deployment.js';

test.serial(
  'targets are ordered under the lease, where the callers are, and the dearer ones given back',
  async t => {
    const { clock, client, startInstance, stop, table } =
      createScalingDeployment(t);
    const { log, targets } = startInstance('i-a', stop.signal);
    await clock.tickAsync(60_000);
    const [first] = client.calls;
    t.true((first?.atMs ?? 0) >= 1_500 + leaseDurationMs);
    t.true((first?.atMs ?? Infinity) < 7_000);
    t.true(client.calls.every(({ holder }) => holder.fencingToken === 1));
    t.true(client.calls.every(({ holder }) => holder.name === 'i-a'));
    const open = targets.listOpenTargets('engines');
    t.true(open.length < 18);
    t.true(open.every(({ record }) => record.isSpot));
    for (const dataCenter of ['a', 'b', 'c'])
      t.true(open.some(({ record }) => record.dataCenter === dataCenter));
    const ordered = log.entries.filter(
      ({ name }) => name === 'targets_ordered',
    );
    t.is(ordered.length, client.calls.length);
    t.is(table.listRows('target-orders').length, 6);
  },
);

test.serial(
  'a service without bounds, or a process suspended after its confirmation, orders nothing',
  async t => {
    const unscaled = createScalingDeployment(t, {
      ...scaledService,
      scaling: undefined,
    });
    unscaled.startInstance('i-a', unscaled.stop.signal);
    await unscaled.clock.tickAsync(20_000);
    t.is(unscaled.client.calls.length, 0);
    unscaled.stop.abort();
    unscaled.clock.uninstall();

    const suspended = createScalingDeployment(t);
    suspended.startInstance('i-a', suspended.stop.signal);
    await suspended.clock.tickAsync(4_000);
    suspended.table.isSuspending = true;
    await suspended.clock.tickAsync(5_000);
    t.is(suspended.client.calls.length, 0);
  },
);

test.serial(
  'orders take at most half of the calls of the interface',
  async t => {
    const { clock, client, startInstance, stop } = createScalingDeployment(t);
    startInstance('i-a', stop.signal, 4);
    await clock.tickAsync(40_000);
    t.true(client.calls.length > 3);
    client.calls.forEach(({ atMs }, i) => {
      const previousMs = client.calls[i - 1]?.atMs ?? -Infinity;
      t.true(atMs - previousMs >= 500);
    });
  },
);

test.serial(
  'the successor of a lost holder watches, and does not undo what was ordered',
  async t => {
    const { clock, client, startInstance, stop } = createScalingDeployment(t);
    const firstStop = new AbortController();
    const { targets } = startInstance('i-a', firstStop.signal);
    await clock.tickAsync(60_000);
    const before = targets.listOpenTargets('engines').length;
    const callCount = client.calls.length;
    startInstance('i-b', stop.signal);
    client.registries.splice(0, 1);
    for (const { record } of client.registries[0]?.listTargets() ?? [])
      if (targets.findTarget(record.id) === undefined) client.remove(record.id);
    for (const { record } of targets.listTargets())
      client.registries[0]?.registerTarget(record);
    firstStop.abort();
    const stoppedAtMs = performance.now();
    await clock.tickAsync(40_000);
    const later = client.calls.slice(callCount);
    t.true(later.every(({ holder }) => holder.fencingToken > 1));
    t.true(
      later.every(
        ({ atMs }) => atMs >= stoppedAtMs + leaseDurationMs + startupMs,
      ),
    );
    const after = client.registries[0]?.listOpenTargets('engines').length ?? 0;
    t.true(Math.abs(after - before) <= 2, `${before} and ${after} targets`);
  },
);

for (const [name, hinder] of [
  [
    'the registrations are not known',
    ({ watcher }: ReturnType<typeof createScalingDeployment>) => {
      watcher.knownForMs = 0;
    },
  ],
  [
    'most instances are suspected',
    (
      _: ReturnType<typeof createScalingDeployment>,
      instances: InstanceRegistry,
    ) => {
      for (const other of ['i-b', 'i-c']) instances.markSuspected(other);
    },
  ],
] as const) {
  test.serial(
    `nothing is ordered while ${name}, and the log says why`,
    async t => {
      const parts = createScalingDeployment(t);
      const { log, instances } = parts.startInstance('i-a', parts.stop.signal);
      hinder(parts, instances);
      await parts.clock.tickAsync(20_000);
      t.is(parts.client.calls.length, 0);
      t.true(log.entries.some(each => each.name === 'ordering_paused'));
    },
  );
}

test.serial(
  'instances that have been out of reach for a minute keep no targets from being ordered',
  async t => {
    const { clock, client, startInstance, stop } = createScalingDeployment(t);
    const { instances } = startInstance('i-a', stop.signal);
    for (const other of ['i-b', 'i-c']) instances.markSuspected(other);
    await clock.tickAsync(59_000);
    t.is(client.calls.length, 0);
    await clock.tickAsync(10_000);
    t.true(client.calls.length > 0);
    t.true(client.calls.every(({ order }) => order.isSpot));
  },
);

test.serial(
  'after a restore of the store nothing is ordered until targets have registered again',
  async t => {
    const { clock, client, startInstance, stop, table } =
      createScalingDeployment(t);
    startInstance('i-a', stop.signal);
    const backup = table.createBackup();
    await clock.tickAsync(3_000);
    table.restoreBackup(backup);
    await clock.tickAsync(30_000);
    const [first] = client.calls;
    t.true((first?.atMs ?? 0) >= 3_000 + 4_400);
  },
);

test.serial(
  'refusals and lost answers are logged with their outcome',
  async t => {
    const { clock, client, startInstance, stop } = createScalingDeployment(t);
    const { log } = startInstance('i-a', stop.signal);
    client.answer = 'unavailable';
    await clock.tickAsync(10_000);
    const refused = log.entries.filter(
      ({ name }) => name === 'order_unavailable',
    );
    t.is(refused.length, client.calls.length);
    t.like(refused[0]?.fields, { outcome: 'unavailable' });
    client.answer = undefined;
    await clock.tickAsync(10_000);
    const given = log.entries.find(({ name }) => name === 'targets_ordered');
    t.like(given?.fields, { outcome: 'no answer' });
  },
);
