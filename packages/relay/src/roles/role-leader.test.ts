import FakeTimers from '@sinonjs/fake-timers';
import { InstanceRegistry, LeaseKeeper } from '@medlarlever/core';
import type { Commit, Failure, Transaction } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { FakeTopology, FakeDeployment } from '../fixtures/fake-topology.js';
import { aConfiguration, aLog, aTarget } from '../fixtures/relay-fixtures.js';
import { ServiceStates } from '../relay/service-state.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';

import { EngineOrders } from './engine-control-client.js';
import type {
  EngineReport,
  OrderAnswer,
  RoleOrder,
} from './engine-control-client.js';
import { ReadingDemand } from './prefill-demand.js';
import { RoleLeader } from './role-leader.js';
import { RoleNews } from './target-closure-broadcaster.js';

const turnMs = 3_000;

class FakeOrders extends EngineOrders {
  readonly given: { readonly atMs: number; readonly order: RoleOrder }[] = [];
  /** Runs while an engine is asked for its report. */
  onReport: () => void = () => undefined;

  override report(): Promise<Either<Failure, EngineReport>> {
    this.onReport();
    const last = this.given.at(-1);
    return Promise.resolve(
      Right({
        role: last?.order.role ?? 'decode',
        busy: false,
        ordersAccepted: 7,
      }),
    );
  }

  override changeRole(
    _target: TargetRecord,
    order: RoleOrder,
  ): Promise<Either<Failure, OrderAnswer>> {
    this.given.push({ atMs: performance.now(), order });
    return Promise.resolve(Right<OrderAnswer>('accepted'));
  }
}

/** Confirms a write, after which the process stands still for a while. */
class FreezingTable extends MemoryTable {
  freezesMs = 0;

  override async commit(
    transaction: Transaction,
  ): Promise<Either<Failure, Commit>> {
    const commit = await super.commit(transaction);
    // The time of day runs on in a suspension, the steady clock does not.
    const now = Date.now();
    const laterMs = this.freezesMs;
    this.freezesMs = 0;
    if (laterMs > 0) Date.now = () => now + laterMs;
    return commit;
  }
}

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
    clock.uninstall();
  });
  const table = new FreezingTable();
  let seed = 0;
  const random = () => (seed = (seed * 16_807 + 11) % 2_147_483_647) / 2 ** 31;
  const instance = (name: string, signal: AbortSignal) => {
    const log = aLog();
    const routes = new RouteTableHolder(log);
    routes.applyIfNewer(aConfiguration(), 'test');
    const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1_000 });
    for (const [id, role] of [
      ['p1', 'prefill'],
      ['d1', 'decode'],
      ['d2', 'decode'],
    ] as const) {
      targets.registerTarget(
        aTarget(id, { service: 'engines', role, slots: 8 }),
      );
    }
    targets.findTarget('p1')?.startPrefill([], 90_000);
    const orders = new FakeOrders();
    const leader = new RoleLeader({
      table,
      leases: new LeaseKeeper({
        table,
        self: { name, incarnation: name },
        random,
        log,
        durationMs: turnMs,
      }),
      registry: new InstanceRegistry({
        name,
        dataCenter: 'a',
        incarnation: name,
        address: '10.0.0.1:1',
        state: 'live',
        revision: 0,
        startedAtMs: 0,
        version: 0,
      }),
      routes,
      targets,
      services: new ServiceStates({
        windowMs: 10_000,
        getLimits: () => ({
          retriesPerRequest: 0.2,
          deploymentAllowance: 10,
          instanceCount: 1,
        }),
      }),
      demand: new ReadingDemand(),
      orders,
      news: new RoleNews(
        new FakeTopology(new FakeDeployment(), 'self'),
        targets,
      ),
      log,
      random,
      turnMs,
    });
    void leader.run(signal);
    return { orders, log, targets };
  };
  return { clock, instance, stop, table };
};

test.serial(
  'the first order waits a turn and carries its authority',
  async t => {
    const { clock, instance, stop } = setUp(t);
    const { orders, log } = instance('one', stop.signal);
    await clock.tickAsync(12_000);
    const acquired = log.entries.find(({ name }) => name === 'lease_acquired');
    t.truthy(acquired);
    const [first] = orders.given;
    t.like(first?.order, {
      role: 'prefill',
      holder: 'one',
      fencing: 1,
      ordersAccepted: 7,
    });
    t.true((first?.atMs ?? 0) >= 1_500 + turnMs);
  },
);

test.serial(
  'a leader that stood still between question and order sends none',
  async t => {
    const { clock, instance, stop, table } = setUp(t);
    const { orders, targets } = instance('one', stop.signal);
    orders.onReport = () => {
      table.freezesMs = 9_000;
    };
    await clock.tickAsync(6_600);
    t.is(table.freezesMs, 0);
    t.is(orders.given.length, 0);
    t.false(targets.findTarget('d1')?.isChangingRole);
  },
);

test.serial(
  'a leader that stops hands over, and the next waits its turn',
  async t => {
    const { clock, instance, stop } = setUp(t);
    const leaving = new AbortController();
    const one = instance('one', leaving.signal);
    await clock.tickAsync(12_000);
    const two = instance('two', stop.signal);
    await clock.tickAsync(3_000);
    t.is(two.orders.given.length, 0);
    leaving.abort();
    const stoppedMs = performance.now();
    await clock.tickAsync(15_000);
    const [next] = two.orders.given;
    t.true((next?.order.fencing ?? 0) > 1);
    t.true((next?.atMs ?? 0) >= stoppedMs + turnMs);
    t.true(one.orders.given.every(({ atMs }) => atMs <= stoppedMs));
  },
);
