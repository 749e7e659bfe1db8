import FakeTimers from '@sinonjs/fake-timers';
import { Failure, InstanceRegistry, Leases } from '@medlarlever/core';
import type { CommitResult, Transaction } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { DutyClient } from '../duties/duty-client.js';
import type {
  DutyHolder,
  DutyResult,
  TargetOrder,
} from '../duties/duty-client.js';
import { DutyLeader } from '../duties/duty-leader.js';
import {
  createConfiguration,
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { ServiceStates } from '../relay/service-state.js';
import { PrefillDemand } from '../roles/prefill-demand.js';
import type { Service } from '../routes/route-configuration.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { ScalingDuty } from './scaling-duty.js';
import { ScalingViewBuilder } from './scaling-view-builder.js';

const leaseDurationMs = 3_000;
const startupMs = 4_000;
const tickMs = 100;

const scaledService: Service = {
  name: 'engines',
  maxConnections: 10,
  engine: {
    slots: 8,
    kvTokens: 100_000,
    transferMsPerToken: 0.0004,
    roleChangeS: 3,
  },
  scaling: {
    min: 1,
    max: 8,
    startupMs,
    spotPrice: 0.2,
    prices: { a: 1, b: 1, c: 1 },
  },
};

/** Platform that starts targets, which register at all instances. */
class FakeDutyClient extends DutyClient {
  readonly calls: {
    readonly atMs: number;
    readonly order: TargetOrder;
    readonly holder: DutyHolder;
  }[] = [];
  readonly registries: TargetRegistry[] = [];
  /** Answer to each order; undefined loses it. */
  answer: DutyResult | undefined = 'accepted';
  #startCount = 0;

  override reportUsage(): Promise<Either<Failure, DutyResult>> {
    return Promise.resolve(Right<DutyResult>('accepted'));
  }

  override orderTargets(
    order: TargetOrder,
    holder: DutyHolder,
  ): Promise<Either<Failure, DutyResult>> {
    this.calls.push({ atMs: performance.now(), order, holder });
    if (this.answer === undefined)
      return Promise.resolve(
        Left(new Failure('platform_unknown', 'no answer')),
      );
    if (this.answer === 'accepted') this.#apply(order);
    return Promise.resolve(Right(this.answer));
  }

  #apply({ service, dataCenter, isSpot, desired }: TargetOrder): void {
    const [registry] = this.registries;
    const present = (registry?.listOpenTargets(service) ?? []).filter(
      ({ record }) =>
        record.dataCenter === dataCenter && (record.isSpot ?? false) === isSpot,
    );
    for (const { record } of present.slice(desired)) this.remove(record.id);
    for (let i = present.length; i < desired; i += 1) {
      this.#startCount += 1;
      const id = `started-${this.#startCount}`;
      setTimeout(() => {
        for (const each of this.registries)
          each.registerTarget(
            createTargetRecord(id, {
              service,
              dataCenter,
              isSpot,
              slots: 8,
              role: 'decode',
            }),
          );
      }, startupMs);
    }
  }

  remove(id: string): void {
    for (const registry of this.registries) registry.removeTarget(id, 'test');
  }
}

/** Table that simulates a suspension of the process right after a commit. */
class SuspendingTable extends MemoryTable {
  isSuspending = false;

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const result = await super.commitTransaction(transaction);
    // The wall clock advances during a suspension, the monotonic clock does not.
    const startedAtMs = Date.now();
    if (this.isSuspending) Date.now = () => startedAtMs + 9_000;
    return result;
  }
}

const setUp = (t: ExecutionContext, service: Service = scaledService) => {
  const clock = FakeTimers.install({ now: 0 });
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
    clock.uninstall();
  });
  const table = new SuspendingTable();
  const client = new FakeDutyClient();
  let seed = 0;
  const random = () => (seed = (seed * 16_807 + 11) % 2_147_483_647) / 2 ** 31;
  /** Prompt tokens a second of each instance; data centre by the end of its name. */
  const rates: Record<string, number> = {
    'i-a': 40_000,
    'i-b': 40_000,
    'i-c': 40_000,
  };
  const watcher = { knownForMs: 60_000 };

  const startInstance = (
    name: string,
    signal: AbortSignal,
    callsPerSecond = 50,
  ) => {
    const log = createMemoryLog();
    const routes = new RouteTableHolder(log);
    routes.applyIfNewer(createConfiguration({ services: [service] }), 'test');
    const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1_000 });
    for (const dataCenter of ['a', 'b', 'c']) {
      for (let i = 0; i < 6; i += 1)
        targets.registerTarget(
          createTargetRecord(`${dataCenter}${i}`, {
            service: 'engines',
            dataCenter,
            role: 'decode',
            slots: 8,
          }),
        );
    }
    client.registries.push(targets);
    const instances = new InstanceRegistry(createInstance(name));
    for (const other of Object.keys(rates))
      if (other !== name) instances.mergeRecords([createInstance(other)]);
    const demand = new PrefillDemand();
    const totals = new Map<string, number>();
    const timer = setInterval(() => {
      for (const [instance, rate] of Object.entries(rates)) {
        const total = (totals.get(instance) ?? 0) + rate / 5;
        totals.set(instance, total);
        demand.recordTotals(instance, [['engines', total]]);
      }
    }, 200);
    signal.addEventListener('abort', () => {
      clearInterval(timer);
    });
    const services = new ServiceStates({
      windowMs: 10_000,
      getLimits: () => ({
        retriesPerRequest: 0.2,
        deploymentAllowance: 10,
        instanceCount: 1,
      }),
    });
    for (let i = 0; i < 40; i += 1)
      services.getState('engines').prefillSpeed.addSample(6_000, 120);
    const leader = new DutyLeader({
      table,
      leases: new Leases({
        table,
        self: { name, incarnation: name },
        random,
        log,
        leaseDurationMs,
      }),
      registry: instances,
      log,
      random,
      leaseDurationMs,
    });
    leader.addDuty(
      new ScalingDuty({
        routes,
        views: new ScalingViewBuilder({
          targets,
          services,
          demand,
          instances,
          eras: table.eras,
          targetWatcher: watcher,
          isCutOff: () => false,
        }),
        client,
        getCallsPerSecond: () => callsPerSecond,
        log,
      }),
    );
    void leader.run(signal);
    return { log, targets, instances };
  };
  return { clock, client, rates, startInstance, stop, table, watcher };
};

const createInstance = (name: string) => ({
  name,
  dataCenter: name.slice(-1),
  incarnation: name,
  address: '10.0.0.1:1',
  state: 'live' as const,
  revision: 0,
  startedAtMs: 0,
  version: 0,
});

test.serial(
  'targets are ordered under the lease, where the callers are, and the dearer ones given back',
  async t => {
    const { clock, client, startInstance, stop, table } = setUp(t);
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
    const unscaled = setUp(t, { ...scaledService, scaling: undefined });
    unscaled.startInstance('i-a', unscaled.stop.signal);
    await unscaled.clock.tickAsync(20_000);
    t.is(unscaled.client.calls.length, 0);
    unscaled.stop.abort();
    unscaled.clock.uninstall();

    const suspended = setUp(t);
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
    const { clock, client, startInstance, stop } = setUp(t);
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
    const { clock, client, startInstance, stop } = setUp(t);
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
    ({ watcher }: ReturnType<typeof setUp>) => {
      watcher.knownForMs = 0;
    },
  ],
  [
    'most instances are suspected',
    (_: ReturnType<typeof setUp>, instances: InstanceRegistry) => {
      for (const other of ['i-b', 'i-c']) instances.markSuspected(other);
    },
  ],
] as const) {
  test.serial(
    `nothing is ordered while ${name}, and the log says why`,
    async t => {
      const parts = setUp(t);
      const { log, instances } = parts.startInstance('i-a', parts.stop.signal);
      hinder(parts, instances);
      await parts.clock.tickAsync(20_000);
      t.is(parts.client.calls.length, 0);
      t.true(log.entries.some(each => each.name === 'ordering_paused'));
    },
  );
}

test.serial(
  'after a restore of the store nothing is ordered until targets have registered again',
  async t => {
    const { clock, client, startInstance, stop, table } = setUp(t);
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
    const { clock, client, startInstance, stop } = setUp(t);
    const { log } = startInstance('i-a', stop.signal);
    client.answer = 'unavailable';
    await clock.tickAsync(10_000);
    const refused = log.entries.filter(
      ({ name }) => name === 'order_unavailable',
    );
    t.is(refused.length, client.calls.length);
    t.like(refused[0]?.fields, { outcome: 'unavailable' });
    client.answer = undefined;
    await clock.tickAsync(tickMs * 100);
    const given = log.entries.find(({ name }) => name === 'targets_ordered');
    t.like(given?.fields, { outcome: 'no answer' });
  },
);
