import type { MaintenancePlan } from '@medlarlever/core';
import test from 'ava';

import { withPausedClock } from '../control/fixtures.js';

import { PlanFleet } from './plan-fleet.js';
import type { PlanInstance } from './plan-fleet.js';

type Clock = Parameters<Parameters<typeof withPausedClock>[0]>[0];

const settleMs = 5_000;

const withFleet = (
  names: readonly string[],
  run: (fleet: PlanFleet, clock: Clock) => Promise<void>,
) =>
  withPausedClock(async clock => {
    const fleet = new PlanFleet(names);
    await clock.tickAsync(settleMs);
    await run(fleet, clock);
    fleet.stop();
    await clock.tickAsync(settleMs);
  });

const role = {
  kind: 'role',
  target: 'engine-1',
  role: 'prefill',
} as const;

const submit = async (instance: PlanInstance): Promise<MaintenancePlan> =>
  (await instance.planner.submitPlan(role, 'ops')).unsafeCoerce();

const planOf = async (
  instance: PlanInstance,
  id: string,
): Promise<MaintenancePlan> =>
  (await instance.planner.findPlan(id)).unsafeCoerce();

test.serial('a role change waits for the work of every instance', t =>
  withFleet(['entry-1', 'entry-2', 'entry-3'], async (fleet, clock) => {
    fleet.at(2).running.set('engine-1', 1);
    const { id } = await submit(fleet.at(0));
    void fleet.at(0).runner.advanceUntilStopped();
    await clock.tickAsync(20_000);
    t.like(await planOf(fleet.at(1), id), {
      state: 'waiting',
      waitingOn: ['1 running requests'],
    });
    t.is(fleet.engine('engine-1').simulator.role, 'mixed');
    t.true(fleet.instances.every(instance => instance.isClosed('engine-1')));
    fleet.at(2).running.clear();
    await clock.tickAsync(20_000);
    t.is((await planOf(fleet.at(1), id)).state, 'done');
    t.is(fleet.engine('engine-1').simulator.role, 'prefill');
    t.false(fleet.instances.some(instance => instance.isClosed('engine-1')));
  }),
);

test.serial('a plan waits for an instance that cannot be asked', t =>
  withFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
    fleet.isolate(1);
    const { id } = await submit(fleet.at(0));
    void fleet.at(0).runner.advanceUntilStopped();
    await clock.tickAsync(60_000);
    t.like(await planOf(fleet.at(0), id), {
      state: 'closing',
      waitingOn: ['instance entry-2'],
    });
    t.is(fleet.engine('engine-1').simulator.role, 'mixed');
    fleet.list.setMemberState('entry-2', 'gone');
    await clock.tickAsync(20_000);
    t.is((await planOf(fleet.at(0), id)).state, 'done');
  }),
);

test.serial('another instance finishes the plan of one that died', t =>
  withFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
    const { id } = await submit(fleet.at(0));
    void fleet.at(0).runner.advanceUntilStopped();
    while ((await planOf(fleet.at(1), id)).state !== 'acting') {
      await clock.tickAsync(100);
    }
    fleet.at(0).table.pause();
    fleet.isolate(0);
    fleet.list.setMemberState('entry-1', 'gone');
    void fleet.at(1).runner.advanceUntilStopped();
    await clock.tickAsync(60_000);
    t.is((await planOf(fleet.at(1), id)).state, 'done');
    t.is(fleet.engine('engine-1').simulator.role, 'prefill');
  }),
);

test.serial('a cancelled plan opens the target, and a late cancel misses', t =>
  withFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
    fleet.at(1).running.set('engine-1', 1);
    const first = await submit(fleet.at(0));
    const [stored] = (await fleet.at(0).store.listOpenPlans()).unsafeCoerce();
    if (stored === undefined) throw new Error('no plan');
    void fleet.at(0).runner.advanceUntilStopped();
    await clock.tickAsync(settleMs);
    t.true((await fleet.at(1).planner.cancelPlan(first.id)).isRight());
    await clock.tickAsync(settleMs);
    t.is((await planOf(fleet.at(0), first.id)).state, 'cancelled');
    t.false(fleet.instances.some(instance => instance.isClosed('engine-1')));
    const second = await submit(fleet.at(1));
    const late = { state: 'cancelling' as const };
    t.true((await fleet.at(0).store.updatePlan(stored, late, [])).isLeft());
    await clock.tickAsync(settleMs);
    t.is((await planOf(fleet.at(0), second.id)).state, 'waiting');
  }),
);

test.serial('a target has one open plan at a time', t =>
  withFleet(['entry-1'], async fleet => {
    await submit(fleet.at(0));
    const again = await fleet.at(0).planner.submitPlan(role, 'ops');
    t.is(again.swap().toMaybe().extract()?.code, 'plan_conflict');
  }),
);

test.serial('a lost answer of the table neither doubles nor loses a plan', t =>
  withFleet(['entry-1'], async (fleet, clock) => {
    fleet.table.faults.loseAnswers = 1;
    const submitted = submit(fleet.at(0));
    await clock.tickAsync(settleMs);
    const { id } = await submitted;
    const open = (await fleet.at(0).store.listOpenPlans()).unsafeCoerce();
    t.deepEqual(
      open.map(({ plan }) => plan.id),
      [id],
    );
  }),
);
