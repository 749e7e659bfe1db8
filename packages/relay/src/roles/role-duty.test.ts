import FakeTimers from '@sinonjs/fake-timers';
import { InstanceRegistry, Leases } from '@medlarlever/core';
import type { CommitResult, Failure, Transaction } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { DutyLeader } from '../duties/duty-leader.js';
import { FakeTopology, FakeDeployment } from '../fixtures/fake-topology.js';
import {
  createConfiguration,
  createMemoryLog,
  createServiceStates,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord, TargetRole } from '../targets/target-record.js';

import { EngineControlClient } from './engine-control-client.js';
import type {
  EngineStatus,
  CommandResult,
  RoleChangeCommand,
} from './engine-control-client.js';
import { PrefillDemand } from './prefill-demand.js';
import { RoleDuty } from './role-duty.js';
import { TargetClosureBroadcaster } from './target-closure-broadcaster.js';

const leaseDurationMs = 3_000;

class FakeEngineControlClient extends EngineControlClient {
  readonly receivedCommands: {
    readonly atMs: number;
    readonly command: RoleChangeCommand;
  }[] = [];
  /** Role of every engine before its first command. */
  initialRole: TargetRole = 'decode';
  /** Called on each status request. */
  onStatusRequest: () => void = () => undefined;

  override fetchStatus(): Promise<Either<Failure, EngineStatus>> {
    this.onStatusRequest();
    const lastCommand = this.receivedCommands.at(-1);
    return Promise.resolve(
      Right({
        role: lastCommand?.command.role ?? this.initialRole,
        busy: false,
        acceptedCommandCount: 7,
      }),
    );
  }

  override changeRole(
    _target: TargetRecord,
    command: RoleChangeCommand,
  ): Promise<Either<Failure, CommandResult>> {
    this.receivedCommands.push({ atMs: performance.now(), command });
    return Promise.resolve(Right<CommandResult>('accepted'));
  }
}

/** Table that simulates a suspension of the process right after a commit. */
class SuspendingTable extends MemoryTable {
  /** Length of the suspension after the next commit, in milliseconds. */
  suspensionMs = 0;

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const result = await super.commitTransaction(transaction);
    // The wall clock advances during a suspension, the monotonic clock does not.
    const startedAtMs = Date.now();
    const durationMs = this.suspensionMs;
    this.suspensionMs = 0;
    if (durationMs > 0) Date.now = () => startedAtMs + durationMs;
    return result;
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
  const startInstance = (name: string, signal: AbortSignal) => {
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
    const engineControl = new FakeEngineControlClient();
    const registry = new InstanceRegistry({
      name,
      dataCenter: 'a',
      incarnation: name,
      address: '10.0.0.1:1',
      state: 'live',
      revision: 0,
      startedAtMs: 0,
      version: 0,
    });
    const leader = new DutyLeader({
      table,
      leases: new Leases({
        table,
        self: { name, incarnation: name },
        random,
        log,
        leaseDurationMs,
      }),
      registry,
      log,
      random,
      leaseDurationMs,
    });
    const duty = new RoleDuty({
      isCutOff: () => false,
      registry,
      routes,
      targets,
      services: createServiceStates(),
      demand: new PrefillDemand(),
      engineControl,
      closures: new TargetClosureBroadcaster(
        new FakeTopology(new FakeDeployment(), 'self'),
        targets,
      ),
      log,
    });
    leader.addDuty(duty);
    void leader.run(signal);
    return { engineControl, log, targets };
  };
  return { clock, startInstance, stop, table };
};

test.serial(
  'the first command waits one lease duration and carries holder and fencing token',
  async t => {
    const { clock, startInstance, stop } = setUp(t);
    const { engineControl, log } = startInstance('one', stop.signal);
    await clock.tickAsync(12_000);
    const acquired = log.entries.find(({ name }) => name === 'lease_acquired');
    t.truthy(acquired);
    const [first] = engineControl.receivedCommands;
    t.like(first?.command, {
      role: 'prefill',
      holder: 'one',
      fencing: 1,
      acceptedCommandCount: 7,
    });
    t.true((first?.atMs ?? 0) >= 1_500 + leaseDurationMs);
  },
);

test.serial(
  'a leader that was suspended after the status request sends no command',
  async t => {
    const { clock, startInstance, stop, table } = setUp(t);
    const { engineControl, targets } = startInstance('one', stop.signal);
    engineControl.onStatusRequest = () => {
      table.suspensionMs = 9_000;
    };
    await clock.tickAsync(6_600);
    t.is(table.suspensionMs, 0);
    t.is(engineControl.receivedCommands.length, 0);
    t.false(targets.findTarget('d1')?.isChangingRole);
  },
);

test.serial(
  'an engine that began to leave after the decision gets no command',
  async t => {
    const { clock, startInstance, stop } = setUp(t);
    const { engineControl, targets, log } = startInstance('one', stop.signal);
    engineControl.onStatusRequest = () => {
      for (const id of ['d1', 'd2'])
        targets.registerTarget(
          createTargetRecord(id, {
            service: 'engines',
            role: 'decode',
            slots: 8,
            leaving: true,
            leavesInMs: 4_000,
          }),
        );
    };
    await clock.tickAsync(7_000);
    t.true(log.entries.some(({ name }) => name === 'role_decided'));
    t.is(engineControl.receivedCommands.length, 0);
  },
);

test.serial(
  'a stopping leader releases the lease, and the next one waits a lease duration',
  async t => {
    const { clock, startInstance, stop } = setUp(t);
    const firstStop = new AbortController();
    const one = startInstance('one', firstStop.signal);
    await clock.tickAsync(12_000);
    const two = startInstance('two', stop.signal);
    await clock.tickAsync(3_000);
    t.is(two.engineControl.receivedCommands.length, 0);
    firstStop.abort();
    const stoppedAtMs = performance.now();
    await clock.tickAsync(15_000);
    const [firstCommand] = two.engineControl.receivedCommands;
    t.true((firstCommand?.command.fencing ?? 0) > 1);
    t.true((firstCommand?.atMs ?? 0) >= stoppedAtMs + leaseDurationMs);
    t.true(
      one.engineControl.receivedCommands.every(
        ({ atMs }) => atMs <= stoppedAtMs,
      ),
    );
  },
);

test.serial(
  'a leader stops when the store is restored, and the next one sends later and with a higher token',
  async t => {
    const { clock, startInstance, stop, table } = setUp(t);
    const backup = table.createBackup();
    const one = startInstance('one', stop.signal);
    await clock.tickAsync(12_000);
    const [lastCommand] = one.engineControl.receivedCommands.slice(-1);
    t.truthy(lastCommand);
    table.restoreBackup(backup);
    const restoredAtMs = performance.now();
    const two = startInstance('two', stop.signal);
    await clock.tickAsync(20_000);
    const laterCommands = [one, two]
      .flatMap(({ engineControl }) => engineControl.receivedCommands)
      .filter(({ atMs }) => atMs > restoredAtMs);
    t.true(laterCommands.length > 0);
    for (const { atMs, command } of laterCommands) {
      t.true(atMs >= restoredAtMs + leaseDurationMs);
      t.true(command.fencing > (lastCommand?.command.fencing ?? 0));
    }
    const holders = laterCommands.map(({ command }) => command.holder);
    t.is(new Set(holders).size, 1);
    t.true(one.log.entries.some(({ name }) => name === 'lease_lost'));
  },
);

test.serial(
  'no command is sent to engines that take less than one request a second',
  async t => {
    const { clock, startInstance, stop } = setUp(t);
    const { engineControl, targets } = startInstance('one', stop.signal);
    for (const { limiter } of targets.listTargets())
      limiter.statement.recordLimit(0.9, 0);
    await clock.tickAsync(20_000);
    t.is(engineControl.receivedCommands.length, 0);
  },
);

test.serial(
  'the calls of a role change count against the limit of the engine',
  async t => {
    const { clock, startInstance, stop } = setUp(t);
    const { engineControl, targets } = startInstance('one', stop.signal);
    const limiter = targets.findTarget('p1')?.limiter;
    limiter?.statement.recordLimit(1, 0);
    engineControl.initialRole = 'prefill';
    for (const id of ['d1', 'd2']) targets.removeTarget(id, 'test');
    await clock.tickAsync(4_500 + 500 + 100);
    t.is(engineControl.receivedCommands.length, 1);
    t.false(limiter?.hasPermit);
    await clock.tickAsync(900);
    t.false(limiter?.hasPermit);
  },
);
