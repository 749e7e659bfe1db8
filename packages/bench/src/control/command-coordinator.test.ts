import {
  Lease,
  LeaseManager,
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
  /** Calls wait in the scheduler until the test lets them go. */
  readonly isScheduled?: boolean;
}

const createProcess = (shared: SharedState, options: ProcessOptions) => {
  const { name, seed, isScheduled: gated = false } = options;
  const { scheduler, fleet, checksFencing } = shared;
  const log = new MemoryLog();
  const common = {
    table: gated
      ? new ScheduledTable(scheduler, name, shared.table)
      : shared.table,
    self: { name, incarnation: `${name}#1` },
    random: createSeededRandom(seed),
    log,
  };
  const keeper = new LeaseManager(common);
  const book = new CommandCoordinator({
    ...common,
    fleet,
    findEngine: () =>
      Just(
        gated
          ? new ScheduledEngine(scheduler, name, shared.currentEngine)
          : shared.currentEngine,
      ),
    checksFencing: () => checksFencing,
  });
  const issue = async (role: EngineRole, lease: Lease) =>
    book.issueCommand({
      target: targetName,
      action: { kind: 'role', role },
      lease,
    });
  return { keeper, book, issue, log, name };
};

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

/** Takes over a lease that another process left. */
const takeOverLease = async (
  { keeper }: ReturnType<typeof createProcess>,
  clock: Clock,
): Promise<Lease> => {
  const first = await keeper.acquireLease(leaseName);
  if (first.isRight()) return first.unsafeCoerce();
  await clock.tickAsync(leaseTakeoverMs);
  return (await keeper.acquireLease(leaseName)).unsafeCoerce();
};

/** Lets a process go until its call number `step`, which stays pending. */
const runUntilCall = async (
  shared: SharedState,
  clock: Clock,
  step: number,
) => {
  for (let n = 0; n < step; n += 1) {
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
  'before the record',
  'after the record, before the order',
  'before the order itself',
  'after the order',
  'before the end is recorded',
];

for (const [at, name] of crashPoints.entries()) {
  for (const effect of ['before', 'after'] as const) {
    test.serial(`holder crashes ${effect} the call ${name}`, t =>
      withFakeClock(async clock => {
        const shared = createSharedState();
        const a = createProcess(shared, {
          name: 'a',
          seed: 1,
          isScheduled: true,
        });
        const acquiring = a.keeper.acquireLease(leaseName);
        await runUntilCall(shared, clock, 2);
        void a.issue('prefill', (await acquiring).unsafeCoerce());
        await runUntilCall(shared, clock, at + 1);
        const call = shared.scheduler.pendingCalls[0];
        if (effect === 'after') await call?.completeCall('crash');
        shared.scheduler.crashActor('a');

        const b = createProcess(shared, { name: 'b', seed: 2 });
        const lease = await takeOverLease(b, clock);
        const recorded = shared.table.listRows('orders').length > 0;
        const early = await advanceAndAwait(b.issue('decode', lease), clock);
        t.is(getResultCode(early), recorded ? 'order_conflict' : 'ok');
        markInstanceGone(shared, 'a');
        const late = await advanceAndAwait(b.issue('decode', lease), clock);
        t.is(getResultCode(late), 'ok');
        t.is(shared.currentEngine.simulator.role, 'decode');
        t.is(shared.currentEngine.simulator.commandExecutor.conflictCount, 0);
      }),
    );
  }
}

test.serial('a paused holder of a lapsed lease gives no late order', t =>
  withFakeClock(async clock => {
    const shared = createSharedState();
    const a = createProcess(shared, { name: 'a', seed: 1, isScheduled: true });
    const acquiring = a.keeper.acquireLease(leaseName);
    await runUntilCall(shared, clock, 2);
    const issuing = a.issue('prefill', (await acquiring).unsafeCoerce());
    await runUntilCall(shared, clock, 3);
    const held = shared.scheduler.pendingCalls.find(call =>
      call.label.startsWith('order'),
    );
    t.truthy(held, 'the order is under way');

    const b = createProcess(shared, { name: 'b', seed: 2 });
    const lease = await takeOverLease(b, clock);
    const other = await b.issue('decode', lease);
    t.is(getResultCode(other), 'order_conflict', 'it may still arrive');
    const same = await advanceAndAwait(
      b.book.finishCommand({ target: targetName, lease }),
      clock,
    );
    t.is(getResultCode(same), 'ok');

    await held?.completeCall('answer');
    for (let n = 0; n < 20; n += 1) {
      await clock.tickAsync(2_500);
      await shared.scheduler.pendingCalls[0]?.completeCall('answer');
    }
    t.is(getResultCode(await issuing), 'authority_lost');
    const again = await takeOverLease(b, clock);
    t.is(
      getResultCode(await advanceAndAwait(b.issue('decode', again), clock)),
      'ok',
    );
    const roles =
      shared.currentEngine.simulator.commandExecutor.acceptedCommands.map(
        o => o.action,
      );
    t.deepEqual(roles, [
      { kind: 'role', role: 'prefill' },
      { kind: 'role', role: 'decode' },
    ]);
    t.is(shared.currentEngine.simulator.commandExecutor.conflictCount, 0);
  }),
);

test.serial('an engine that checks fencing refuses the late order', t =>
  withFakeClock(async clock => {
    const shared = createSharedState(true);
    const a = createProcess(shared, { name: 'a', seed: 1, isScheduled: true });
    const acquiring = a.keeper.acquireLease(leaseName);
    await runUntilCall(shared, clock, 2);
    void a.issue('prefill', (await acquiring).unsafeCoerce());
    await runUntilCall(shared, clock, 3);
    const held = shared.scheduler.pendingCalls.find(call =>
      call.label.startsWith('order'),
    );
    const b = createProcess(shared, { name: 'b', seed: 2 });
    const lease = await takeOverLease(b, clock);
    t.is(
      getResultCode(await advanceAndAwait(b.issue('decode', lease), clock)),
      'ok',
    );
    await held?.completeCall('answer');
    await clock.tickAsync(10_000);
    t.is(shared.currentEngine.simulator.role, 'decode');
    t.is(
      shared.currentEngine.simulator.commandExecutor.acceptedCommands.length,
      1,
    );
  }),
);

test.serial('an operator releases a stuck order by name with a reason', t =>
  withFakeClock(async clock => {
    const shared = createSharedState();
    const a = createProcess(shared, { name: 'a', seed: 1, isScheduled: true });
    const acquiring = a.keeper.acquireLease(leaseName);
    await runUntilCall(shared, clock, 2);
    void a.issue('prefill', (await acquiring).unsafeCoerce());
    await runUntilCall(shared, clock, 2);
    const b = createProcess(shared, { name: 'b', seed: 2 });
    const lease = await takeOverLease(b, clock);
    t.is(getResultCode(await b.issue('decode', lease)), 'order_conflict');
    t.is(b.log.entries.at(-1)?.name, 'order_stuck');

    const words = {
      target: targetName,
      operator: 'ana',
      reason: 'host was switched off',
    };
    const wrong = await b.book.releaseCommand({ ...words, orderId: 'other' });
    t.is(getResultCode(wrong), 'order_conflict');
    const [stuck] = (await b.book.listCommands()).unsafeCoerce();
    const orderId = stuck?.order.id ?? '';
    t.is(
      getResultCode(await b.book.releaseCommand({ ...words, orderId })),
      'ok',
    );
    t.is(
      getResultCode(await advanceAndAwait(b.issue('decode', lease), clock)),
      'ok',
    );
    t.is(shared.currentEngine.simulator.role, 'decode');
  }),
);

test.serial('an engine that crashed in the middle is asked again', t =>
  withFakeClock(async clock => {
    const shared = createSharedState();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const lease = (await a.keeper.acquireLease(leaseName)).unsafeCoerce();
    shared.currentEngine.faults.crashInOrder = true;
    const issuing = a.issue('prefill', lease);
    await clock.tickAsync(5_000);
    shared.currentEngine = shared.currentEngine.restart();
    t.is(getResultCode(await advanceAndAwait(issuing, clock)), 'ok');
    t.is(shared.currentEngine.simulator.role, 'prefill');
    t.is(
      shared.currentEngine.simulator.commandExecutor.acceptedCommands.length,
      1,
    );
  }),
);

test.serial('a lost answer of the engine does not double the order', t =>
  withFakeClock(async clock => {
    const shared = createSharedState();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const lease = (await a.keeper.acquireLease(leaseName)).unsafeCoerce();
    shared.currentEngine.faults.loseOrderAnswers = 1;
    t.is(
      getResultCode(await advanceAndAwait(a.issue('prefill', lease), clock)),
      'ok',
    );
    t.is(
      shared.currentEngine.simulator.commandExecutor.acceptedCommands.length,
      1,
    );
    const [record] = (await a.book.listCommands()).unsafeCoerce();
    t.deepEqual(record?.senders, []);
  }),
);

test.serial('fencing numbers rise and a cut-off holder stops by itself', t =>
  withFakeClock(async clock => {
    const shared = createSharedState();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const b = createProcess(shared, { name: 'b', seed: 2 });
    const first = (await a.keeper.acquireLease(leaseName)).unsafeCoerce();
    await clock.tickAsync(60_000);
    t.true(first.isHeld, 'renewals keep it');
    t.is(
      getResultCode(await b.keeper.acquireLease(leaseName)),
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

test.serial('a lease ends by the clock although nobody renews or ends it', t =>
  withFakeClock(async clock => {
    const lease = new Lease({
      name: leaseName,
      record: { holder: 'a', incarnation: 'a#1', fencing: 1, released: false },
      version: 1,
      renewalVersion: 1,
      expiresAtMs: performance.now() + 1_000,
    });
    t.true(lease.isHeld);
    await clock.tickAsync(1_000);
    t.false(lease.isHeld);
  }),
);
