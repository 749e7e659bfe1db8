/** Tests of the command coordinator: crashes, pauses and lost responses of lease holders and engines. */
import {
  Lease,
  Leases,
  MemoryLog,
  CommandCoordinator,
  getCommandLeaseName,
} from '@medlarlever/core';
import type { EngineRole } from '@medlarlever/core';
import {
  FakeEngine,
  MemoryFleetList,
  MemoryTable,
} from '@medlarlever/stand-ins';
import test from 'ava';
import { Just } from 'purify-ts';

import {
  ScheduledEngine,
  ScheduledTable,
  CallScheduler,
} from '../explore/call-scheduler.js';

import { getResultCode, withFakeClock } from './fixtures.js';
import { createSeededRandom } from '../shared/seeded-random.js';

const targetName = 'engine-1';
const leaseName = getCommandLeaseName(targetName);
/** Longer than the time after which a lease without renewals can be taken over. */
const leaseTakeoverMs = 16_000;

const createSharedState = (checksFencing = false) => {
  const engine = new FakeEngine({
    name: targetName,
    checksFencing,
    roleChangeMs: 1_000,
  });
  return {
    scheduler: new CallScheduler(),
    table: new MemoryTable(),
    fleet: new MemoryFleetList(),
    checksFencing,
    currentEngine: engine,
  };
};
type SharedState = ReturnType<typeof createSharedState>;

interface ProcessOptions {
  readonly name: string;
  readonly seed: number;
  /** Whether each call of the process waits in the scheduler until the test completes it. */
  readonly isScheduled?: boolean;
}

const createProcess = (shared: SharedState, options: ProcessOptions) => {
  const { name, seed, isScheduled = false } = options;
  const { scheduler, fleet, checksFencing } = shared;
  const log = new MemoryLog();
  const commonOptions = {
    table: isScheduled
      ? new ScheduledTable(scheduler, name, shared.table)
      : shared.table,
    self: { name, incarnation: `${name}#1` },
    random: createSeededRandom(seed),
    log,
  };
  const leaseManager = new Leases(commonOptions);
  const coordinator = new CommandCoordinator({
    ...commonOptions,
    fleet,
    findEngine: () =>
      Just(
        isScheduled
          ? new ScheduledEngine(scheduler, name, shared.currentEngine)
          : shared.currentEngine,
      ),
    checksFencing: () => checksFencing,
  });
  const issueCommand = async (role: EngineRole, lease: Lease) =>
    coordinator.issueCommand({
      target: targetName,
      action: { kind: 'role', role },
      lease,
    });
  return { leaseManager, coordinator, issueCommand, log, name };
};

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

/** Acquires the lease of the target, after waiting for the lease of another process to expire. */
const takeOverLease = async (
  { leaseManager }: ReturnType<typeof createProcess>,
  clock: Clock,
): Promise<Lease> => {
  const firstAttempt = await leaseManager.acquireLease(leaseName);
  if (firstAttempt.isRight()) return firstAttempt.unsafeCoerce();
  await clock.tickAsync(leaseTakeoverMs);
  return (await leaseManager.acquireLease(leaseName)).unsafeCoerce();
};

/** Completes the calls of a process until its call with the index `callIndex` (from 0) is pending. */
const runUntilCall = async (
  shared: SharedState,
  clock: Clock,
  callIndex: number,
) => {
  for (let n = 0; n < callIndex; n += 1) {
    await clock.tickAsync(1_200);
    await shared.scheduler.pendingCalls[0]?.completeCall('answer');
  }
  await clock.tickAsync(10);
};

const markInstanceGone = (shared: SharedState, name: string) => {
  shared.fleet.putMember({
    name,
    kind: 'entry',
    dataCenter: 'dc-1',
    incarnation: `${name}#1`,
    address: '127.0.0.1:1',
    state: 'gone',
  });
};

const advanceAndAwait = async <T>(
  promise: Promise<T>,
  clock: Clock,
): Promise<T> => {
  await clock.tickAsync(30_000);
  return promise;
};

const crashPoints = [
  'before the command is recorded',
  'after the record, before the command',
  'directly before the command',
  'after the command',
  'before the completion is recorded',
];

for (const [crashIndex, name] of crashPoints.entries()) {
  for (const effect of ['before', 'after'] as const) {
    test.serial(
      `no conflicting command if the holder crashes ${effect} the call made ${name}`,
      t =>
        withFakeClock(async clock => {
          const shared = createSharedState();
          const a = createProcess(shared, {
            name: 'a',
            seed: 1,
            isScheduled: true,
          });
          const leasePromise = a.leaseManager.acquireLease(leaseName);
          await runUntilCall(shared, clock, 2);
          void a.issueCommand('prefill', (await leasePromise).unsafeCoerce());
          await runUntilCall(shared, clock, crashIndex + 1);
          const call = shared.scheduler.pendingCalls[0];
          if (effect === 'after') await call?.completeCall('crash');
          shared.scheduler.crashActor('a');

          const b = createProcess(shared, { name: 'b', seed: 2 });
          const lease = await takeOverLease(b, clock);
          const isRecorded = shared.table.listRows('orders').length > 0;
          const resultBeforeGone = await advanceAndAwait(
            b.issueCommand('decode', lease),
            clock,
          );
          t.is(
            getResultCode(resultBeforeGone),
            isRecorded ? 'order_conflict' : 'ok',
          );
          markInstanceGone(shared, 'a');
          const resultAfterGone = await advanceAndAwait(
            b.issueCommand('decode', lease),
            clock,
          );
          t.is(getResultCode(resultAfterGone), 'ok');
          t.is(shared.currentEngine.simulator.role, 'decode');
          t.is(shared.currentEngine.simulator.commandExecutor.conflictCount, 0);
        }),
    );
  }
}

test.serial(
  'a holder that resumes after its lease expired sends no further command',
  t =>
    withFakeClock(async clock => {
      const shared = createSharedState();
      const a = createProcess(shared, {
        name: 'a',
        seed: 1,
        isScheduled: true,
      });
      const leasePromise = a.leaseManager.acquireLease(leaseName);
      await runUntilCall(shared, clock, 2);
      const commandPromise = a.issueCommand(
        'prefill',
        (await leasePromise).unsafeCoerce(),
      );
      await runUntilCall(shared, clock, 3);
      const delayedCall = shared.scheduler.pendingCalls.find(call =>
        call.label.startsWith('order'),
      );
      t.truthy(delayedCall, 'the command is in flight');

      const b = createProcess(shared, { name: 'b', seed: 2 });
      const lease = await takeOverLease(b, clock);
      const conflictingResult = await b.issueCommand('decode', lease);
      t.is(
        getResultCode(conflictingResult),
        'order_conflict',
        'the earlier command may still arrive',
      );
      const finishResult = await advanceAndAwait(
        b.coordinator.finishCommand({ target: targetName, lease }),
        clock,
      );
      t.is(getResultCode(finishResult), 'ok');

      await delayedCall?.completeCall('answer');
      for (let n = 0; n < 20; n += 1) {
        await clock.tickAsync(2_500);
        await shared.scheduler.pendingCalls[0]?.completeCall('answer');
      }
      t.is(getResultCode(await commandPromise), 'authority_lost');
      const newLease = await takeOverLease(b, clock);
      t.is(
        getResultCode(
          await advanceAndAwait(b.issueCommand('decode', newLease), clock),
        ),
        'ok',
      );
      const actions =
        shared.currentEngine.simulator.commandExecutor.acceptedCommands.map(
          command => command.action,
        );
      t.deepEqual(actions, [
        { kind: 'role', role: 'prefill' },
        { kind: 'role', role: 'decode' },
      ]);
      t.is(shared.currentEngine.simulator.commandExecutor.conflictCount, 0);
    }),
);

test.serial(
  'an engine that checks fencing tokens rejects a delayed command of an earlier holder',
  t =>
    withFakeClock(async clock => {
      const shared = createSharedState(true);
      const a = createProcess(shared, {
        name: 'a',
        seed: 1,
        isScheduled: true,
      });
      const leasePromise = a.leaseManager.acquireLease(leaseName);
      await runUntilCall(shared, clock, 2);
      void a.issueCommand('prefill', (await leasePromise).unsafeCoerce());
      await runUntilCall(shared, clock, 3);
      const delayedCall = shared.scheduler.pendingCalls.find(call =>
        call.label.startsWith('order'),
      );
      const b = createProcess(shared, { name: 'b', seed: 2 });
      const lease = await takeOverLease(b, clock);
      t.is(
        getResultCode(
          await advanceAndAwait(b.issueCommand('decode', lease), clock),
        ),
        'ok',
      );
      await delayedCall?.completeCall('answer');
      await clock.tickAsync(10_000);
      t.is(shared.currentEngine.simulator.role, 'decode');
      t.is(
        shared.currentEngine.simulator.commandExecutor.acceptedCommands.length,
        1,
      );
    }),
);

test.serial(
  'an operator releases a stuck command by its id and with a reason',
  t =>
    withFakeClock(async clock => {
      const shared = createSharedState();
      const a = createProcess(shared, {
        name: 'a',
        seed: 1,
        isScheduled: true,
      });
      const leasePromise = a.leaseManager.acquireLease(leaseName);
      await runUntilCall(shared, clock, 2);
      void a.issueCommand('prefill', (await leasePromise).unsafeCoerce());
      await runUntilCall(shared, clock, 2);
      const b = createProcess(shared, { name: 'b', seed: 2 });
      const lease = await takeOverLease(b, clock);
      t.is(
        getResultCode(await b.issueCommand('decode', lease)),
        'order_conflict',
      );
      t.is(b.log.entries.at(-1)?.name, 'order_stuck');

      const releaseRequest = {
        target: targetName,
        operator: 'ana',
        reason: 'host was switched off',
      };
      const wrongIdResult = await b.coordinator.releaseCommand({
        ...releaseRequest,
        orderId: 'other',
      });
      t.is(getResultCode(wrongIdResult), 'order_conflict');
      const [stuckRecord] = (await b.coordinator.listCommands()).unsafeCoerce();
      const orderId = stuckRecord?.order.id ?? '';
      t.is(
        getResultCode(
          await b.coordinator.releaseCommand({ ...releaseRequest, orderId }),
        ),
        'ok',
      );
      t.is(
        getResultCode(
          await advanceAndAwait(b.issueCommand('decode', lease), clock),
        ),
        'ok',
      );
      t.is(shared.currentEngine.simulator.role, 'decode');
    }),
);

test.serial(
  'a command is sent again to an engine that crashed while executing it',
  t =>
    withFakeClock(async clock => {
      const shared = createSharedState();
      const a = createProcess(shared, { name: 'a', seed: 1 });
      const lease = (
        await a.leaseManager.acquireLease(leaseName)
      ).unsafeCoerce();
      shared.currentEngine.faults.crashInOrder = true;
      const commandPromise = a.issueCommand('prefill', lease);
      await clock.tickAsync(5_000);
      shared.currentEngine = shared.currentEngine.restart();
      t.is(getResultCode(await advanceAndAwait(commandPromise, clock)), 'ok');
      t.is(shared.currentEngine.simulator.role, 'prefill');
      t.is(
        shared.currentEngine.simulator.commandExecutor.acceptedCommands.length,
        1,
      );
    }),
);

test.serial('a lost engine response does not duplicate the command', t =>
  withFakeClock(async clock => {
    const shared = createSharedState();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const lease = (await a.leaseManager.acquireLease(leaseName)).unsafeCoerce();
    shared.currentEngine.faults.loseOrderAnswers = 1;
    t.is(
      getResultCode(
        await advanceAndAwait(a.issueCommand('prefill', lease), clock),
      ),
      'ok',
    );
    t.is(
      shared.currentEngine.simulator.commandExecutor.acceptedCommands.length,
      1,
    );
    const [record] = (await a.coordinator.listCommands()).unsafeCoerce();
    t.deepEqual(record?.senders, []);
  }),
);

test.serial(
  'fencing tokens increase and a holder cut off from the table loses its lease',
  t =>
    withFakeClock(async clock => {
      const shared = createSharedState();
      const a = createProcess(shared, { name: 'a', seed: 1 });
      const b = createProcess(shared, { name: 'b', seed: 2 });
      const first = (
        await a.leaseManager.acquireLease(leaseName)
      ).unsafeCoerce();
      await clock.tickAsync(60_000);
      t.true(first.isHeld, 'renewals keep the lease');
      t.is(
        getResultCode(await b.leaseManager.acquireLease(leaseName)),
        'authority_lost',
      );
      shared.table.faults.down = true;
      await clock.tickAsync(11_000);
      t.false(first.isHeld);
      shared.table.faults.down = false;
      const second = await takeOverLease(b, clock);
      t.is(second.fencingToken, first.fencingToken + 1);
    }),
);

test.serial('a lease that is not renewed expires by the clock', t =>
  withFakeClock(async clock => {
    const lease = new Lease({
      name: leaseName,
      record: { holder: 'a', incarnation: 'a#1', fencing: 1, released: false },
      version: { era: 0, number: 1 },
      renewalVersion: { era: 0, number: 1 },
      expiresAtMs: performance.now() + 1_000,
    });
    t.true(lease.isHeld);
    await clock.tickAsync(1_000);
    t.false(lease.isHeld);
  }),
);
