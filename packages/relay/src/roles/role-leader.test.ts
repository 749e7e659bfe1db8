import FakeTimers from '@sinonjs/fake-timers';
import { InstanceRegistry, LeaseManager } from '@medlarlever/core';
import type { CommitResult, Failure, Transaction } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { FakeTopology, FakeDeployment } from '../fixtures/fake-topology.js';
import {
  createConfiguration,
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { ServiceStates } from '../relay/service-state.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';

import { EngineControlClient } from './engine-control-client.js';
import type {
  EngineStatus,
  CommandResult,
  RoleChangeCommand,
} from './engine-control-client.js';
import { PrefillDemand } from './prefill-demand.js';
import { RoleLeader } from './role-leader.js';
import { TargetClosureBroadcaster } from './target-closure-broadcaster.js';

const leaseDurationMs = 3_000;

class FakeEngineControlClient extends EngineControlClient {
  readonly receivedCommands: {
    readonly atMs: number;
    readonly order: RoleChangeCommand;
  }[] = [];
  /** Runs while an engine is asked for its report. */
  onStatusRequest: () => void = () => undefined;

  override fetchStatus(): Promise<Either<Failure, EngineStatus>> {
    this.onStatusRequest();
    const last = this.receivedCommands.at(-1);
    return Promise.resolve(
      Right({
        role: last?.order.role ?? 'decode',
        busy: false,
        acceptedCommandCount: 7,
      }),
    );
  }

  override changeRole(
    _target: TargetRecord,
    order: RoleChangeCommand,
  ): Promise<Either<Failure, CommandResult>> {
    this.receivedCommands.push({ atMs: performance.now(), order });
    return Promise.resolve(Right<CommandResult>('accepted'));
  }
}

/** Confirms a write, after which the process stands still for a while. */
class SuspendingTable extends MemoryTable {
  suspensionMs = 0;

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const commit = await super.commitTransaction(transaction);
    // The time of day runs on in a suspension, the steady clock does not.
    const now = Date.now();
    const laterMs = this.suspensionMs;
    this.suspensionMs = 0;
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
  const table = new SuspendingTable();
  let seed = 0;
  const random = () => (seed = (seed * 16_807 + 11) % 2_147_483_647) / 2 ** 31;
  const instance = (name: string, signal: AbortSignal) => {
    const log = createMemoryLog();
    const routes = new RouteTableHolder(log);
    routes.applyIfNewer(createConfiguration(), 'test');
    const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1_000 });
    for (const [id, role] of [
      ['p1', 'prefill'],
      ['d1', 'decode'],
      ['d2', 'decode'],
    ] as const) {
      targets.registerTarget(
        createTargetRecord(id, { service: 'engines', role, slots: 8 }),
      );
    }
    targets.findTarget('p1')?.startPrefill([], 90_000);
    const orders = new FakeEngineControlClient();
    const leader = new RoleLeader({
      table,
      leases: new LeaseManager({
        table,
        self: { name, incarnation: name },
        random,
        log,
        leaseDurationMs: leaseDurationMs,
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
      demand: new PrefillDemand(),
      engineControl: orders,
      closures: new TargetClosureBroadcaster(
        new FakeTopology(new FakeDeployment(), 'self'),
        targets,
      ),
      log,
      random,
      leaseDurationMs,
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
    const [first] = orders.receivedCommands;
    t.like(first?.order, {
      role: 'prefill',
      holder: 'one',
      fencing: 1,
      acceptedCommandCount: 7,
    });
    t.true((first?.atMs ?? 0) >= 1_500 + leaseDurationMs);
  },
);

test.serial(
  'a leader that stood still between question and order sends none',
  async t => {
    const { clock, instance, stop, table } = setUp(t);
    const { orders, targets } = instance('one', stop.signal);
    orders.onStatusRequest = () => {
      table.suspensionMs = 9_000;
    };
    await clock.tickAsync(6_600);
    t.is(table.suspensionMs, 0);
    t.is(orders.receivedCommands.length, 0);
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
    t.is(two.orders.receivedCommands.length, 0);
    leaving.abort();
    const stoppedMs = performance.now();
    await clock.tickAsync(15_000);
    const [next] = two.orders.receivedCommands;
    t.true((next?.order.fencing ?? 0) > 1);
    t.true((next?.atMs ?? 0) >= stoppedMs + leaseDurationMs);
    t.true(one.orders.receivedCommands.every(({ atMs }) => atMs <= stoppedMs));
  },
);
