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
  Scheduler,
} from '../explore/call-scheduler.js';

import { outcomeOf, withPausedClock } from './fixtures.js';
import { seededRandom } from '../shared/seeded-random.js';

const target = 'engine-1';
const leaseName = getCommandLeaseName(target);
const takeoverMs = 16_000;

const createShared = (checksFencing = false) => {
  const engine = new FakeEngine({
    name: target,
    checksFencing,
    roleChangeMs: 1_000,
  });
  return {
    scheduler: new Scheduler(),
    table: new MemoryTable(),
    fleet: new MemoryFleetList(),
    checksFencing,
    current: engine,
  };
};
type Shared = ReturnType<typeof createShared>;

interface ProcessOptions {
  readonly name: string;
  readonly seed: number;
  /** Calls wait in the scheduler until the test lets them go. */
  readonly gated?: boolean;
}

const createProcess = (shared: Shared, options: ProcessOptions) => {
  const { name, seed, gated = false } = options;
  const { scheduler, fleet, checksFencing } = shared;
  const log = new MemoryLog();
  const common = {
    table: gated
      ? new ScheduledTable(scheduler, name, shared.table)
      : shared.table,
    self: { name, incarnation: `${name}#1` },
    random: seededRandom(seed),
    log,
  };
  const keeper = new LeaseManager(common);
  const book = new CommandCoordinator({
    ...common,
    fleet,
    findEngine: () =>
      Just(
        gated
          ? new ScheduledEngine(scheduler, name, shared.current)
          : shared.current,
      ),
    checksFencing: () => checksFencing,
  });
  const issue = async (role: EngineRole, lease: Lease) =>
    book.issueCommand({ target, action: { kind: 'role', role }, lease });
  return { keeper, book, issue, log, name };
};

type Clock = Parameters<Parameters<typeof withPausedClock>[0]>[0];

/** Takes over a lease that another process left. */
const takeOver = async (
  { keeper }: ReturnType<typeof createProcess>,
  clock: Clock,
): Promise<Lease> => {
  const first = await keeper.acquireLease(leaseName);
  if (first.isRight()) return first.unsafeCoerce();
  await clock.tickAsync(takeoverMs);
  return (await keeper.acquireLease(leaseName)).unsafeCoerce();
};

/** Lets a process go until its call number `step`, which stays pending. */
const runUntil = async (shared: Shared, clock: Clock, step: number) => {
  for (let n = 0; n < step; n += 1) {
    await clock.tickAsync(1_200);
    await shared.scheduler.pending[0]?.go('answer');
  }
  await clock.tickAsync(10);
};

const markGone = (shared: Shared, name: string) => {
  shared.fleet.putMember({
    name,
    kind: 'entry',
    dataCenter: 'dc-1',
    incarnation: `${name}#1`,
    address: '127.0.0.1:1',
    state: 'gone',
  });
};

const settled = async <T>(promise: Promise<T>, clock: Clock): Promise<T> => {
  await clock.tickAsync(30_000);
  return promise;
};

const calls = [
  'before the record',
  'after the record, before the order',
  'before the order itself',
  'after the order',
  'before the end is recorded',
];

for (const [at, name] of calls.entries()) {
  for (const effect of ['before', 'after'] as const) {
    test.serial(`holder crashes ${effect} the call ${name}`, t =>
      withPausedClock(async clock => {
        const shared = createShared();
        const a = createProcess(shared, { name: 'a', seed: 1, gated: true });
        const acquiring = a.keeper.acquireLease(leaseName);
        await runUntil(shared, clock, 2);
        void a.issue('prefill', (await acquiring).unsafeCoerce());
        await runUntil(shared, clock, at + 1);
        const call = shared.scheduler.pending[0];
        if (effect === 'after') await call?.go('crash');
        shared.scheduler.crash('a');

        const b = createProcess(shared, { name: 'b', seed: 2 });
        const lease = await takeOver(b, clock);
        const recorded = shared.table.listRows('orders').length > 0;
        const early = await settled(b.issue('decode', lease), clock);
        t.is(outcomeOf(early), recorded ? 'order_conflict' : 'ok');
        markGone(shared, 'a');
        const late = await settled(b.issue('decode', lease), clock);
        t.is(outcomeOf(late), 'ok');
        t.is(shared.current.simulator.role, 'decode');
        t.is(shared.current.simulator.commandExecutor.conflictCount, 0);
      }),
    );
  }
}

test.serial('a paused holder of a lapsed lease gives no late order', t =>
  withPausedClock(async clock => {
    const shared = createShared();
    const a = createProcess(shared, { name: 'a', seed: 1, gated: true });
    const acquiring = a.keeper.acquireLease(leaseName);
    await runUntil(shared, clock, 2);
    const issuing = a.issue('prefill', (await acquiring).unsafeCoerce());
    await runUntil(shared, clock, 3);
    const held = shared.scheduler.pending.find(call =>
      call.label.startsWith('order'),
    );
    t.truthy(held, 'the order is under way');

    const b = createProcess(shared, { name: 'b', seed: 2 });
    const lease = await takeOver(b, clock);
    const other = await b.issue('decode', lease);
    t.is(outcomeOf(other), 'order_conflict', 'it may still arrive');
    const same = await settled(b.book.finishCommand({ target, lease }), clock);
    t.is(outcomeOf(same), 'ok');

    await held?.go('answer');
    for (let n = 0; n < 20; n += 1) {
      await clock.tickAsync(2_500);
      await shared.scheduler.pending[0]?.go('answer');
    }
    t.is(outcomeOf(await issuing), 'authority_lost');
    const again = await takeOver(b, clock);
    t.is(outcomeOf(await settled(b.issue('decode', again), clock)), 'ok');
    const roles = shared.current.simulator.commandExecutor.acceptedCommands.map(
      o => o.action,
    );
    t.deepEqual(roles, [
      { kind: 'role', role: 'prefill' },
      { kind: 'role', role: 'decode' },
    ]);
    t.is(shared.current.simulator.commandExecutor.conflictCount, 0);
  }),
);

test.serial('an engine that checks fencing refuses the late order', t =>
  withPausedClock(async clock => {
    const shared = createShared(true);
    const a = createProcess(shared, { name: 'a', seed: 1, gated: true });
    const acquiring = a.keeper.acquireLease(leaseName);
    await runUntil(shared, clock, 2);
    void a.issue('prefill', (await acquiring).unsafeCoerce());
    await runUntil(shared, clock, 3);
    const held = shared.scheduler.pending.find(call =>
      call.label.startsWith('order'),
    );
    const b = createProcess(shared, { name: 'b', seed: 2 });
    const lease = await takeOver(b, clock);
    t.is(outcomeOf(await settled(b.issue('decode', lease), clock)), 'ok');
    await held?.go('answer');
    await clock.tickAsync(10_000);
    t.is(shared.current.simulator.role, 'decode');
    t.is(shared.current.simulator.commandExecutor.acceptedCommands.length, 1);
  }),
);

test.serial('an operator releases a stuck order by name with a reason', t =>
  withPausedClock(async clock => {
    const shared = createShared();
    const a = createProcess(shared, { name: 'a', seed: 1, gated: true });
    const acquiring = a.keeper.acquireLease(leaseName);
    await runUntil(shared, clock, 2);
    void a.issue('prefill', (await acquiring).unsafeCoerce());
    await runUntil(shared, clock, 2);
    const b = createProcess(shared, { name: 'b', seed: 2 });
    const lease = await takeOver(b, clock);
    t.is(outcomeOf(await b.issue('decode', lease)), 'order_conflict');
    t.is(b.log.entries.at(-1)?.name, 'order_stuck');

    const words = { target, operator: 'ana', reason: 'host was switched off' };
    const wrong = await b.book.releaseCommand({ ...words, orderId: 'other' });
    t.is(outcomeOf(wrong), 'order_conflict');
    const [stuck] = (await b.book.listCommands()).unsafeCoerce();
    const orderId = stuck?.order.id ?? '';
    t.is(outcomeOf(await b.book.releaseCommand({ ...words, orderId })), 'ok');
    t.is(outcomeOf(await settled(b.issue('decode', lease), clock)), 'ok');
    t.is(shared.current.simulator.role, 'decode');
  }),
);

test.serial('an engine that crashed in the middle is asked again', t =>
  withPausedClock(async clock => {
    const shared = createShared();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const lease = (await a.keeper.acquireLease(leaseName)).unsafeCoerce();
    shared.current.faults.crashInOrder = true;
    const issuing = a.issue('prefill', lease);
    await clock.tickAsync(5_000);
    shared.current = shared.current.restart();
    t.is(outcomeOf(await settled(issuing, clock)), 'ok');
    t.is(shared.current.simulator.role, 'prefill');
    t.is(shared.current.simulator.commandExecutor.acceptedCommands.length, 1);
  }),
);

test.serial('a lost answer of the engine does not double the order', t =>
  withPausedClock(async clock => {
    const shared = createShared();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const lease = (await a.keeper.acquireLease(leaseName)).unsafeCoerce();
    shared.current.faults.loseOrderAnswers = 1;
    t.is(outcomeOf(await settled(a.issue('prefill', lease), clock)), 'ok');
    t.is(shared.current.simulator.commandExecutor.acceptedCommands.length, 1);
    const [record] = (await a.book.listCommands()).unsafeCoerce();
    t.deepEqual(record?.senders, []);
  }),
);

test.serial('fencing numbers rise and a cut-off holder stops by itself', t =>
  withPausedClock(async clock => {
    const shared = createShared();
    const a = createProcess(shared, { name: 'a', seed: 1 });
    const b = createProcess(shared, { name: 'b', seed: 2 });
    const first = (await a.keeper.acquireLease(leaseName)).unsafeCoerce();
    await clock.tickAsync(60_000);
    t.true(first.isHeld, 'renewals keep it');
    t.is(outcomeOf(await b.keeper.acquireLease(leaseName)), 'authority_lost');
    shared.table.faults.down = true;
    await clock.tickAsync(11_000);
    t.false(first.isHeld);
    shared.table.faults.down = false;
    const second = await takeOver(b, clock);
    t.is(second.fencingToken, first.fencingToken + 1);
  }),
);

test.serial('a lease ends by the clock although nobody renews or ends it', t =>
  withPausedClock(async clock => {
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
