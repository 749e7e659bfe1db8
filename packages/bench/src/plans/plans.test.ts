import type { MaintenancePlan } from '@medlarlever/core';
import test from 'ava';

import { withFakeClock } from '../control/fixtures.js';

import { PlanFleet } from './plan-fleet.js';
import type { PlanInstance } from './plan-fleet.js';

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

const settlingMs = 5_000;

const withPlanFleet = (
  names: readonly string[],
  run: (fleet: PlanFleet, clock: Clock) => Promise<void>,
) =>
  withFakeClock(async clock => {
    const fleet = new PlanFleet(names);
    await clock.tickAsync(settlingMs);
    await run(fleet, clock);
    fleet.stopInstances();
    await clock.tickAsync(settlingMs);
  });

const roleChangeRequest = {
  kind: 'role',
  target: 'engine-1',
  role: 'prefill',
} as const;

const submitRoleChange = async (
  instance: PlanInstance,
): Promise<MaintenancePlan> =>
  (
    await instance.planManager.submitPlan(roleChangeRequest, 'ops')
  ).unsafeCoerce();

const getPlan = async (
  instance: PlanInstance,
  id: string,
): Promise<MaintenancePlan> =>
  (await instance.planManager.findPlan(id)).unsafeCoerce();

test.serial('a role change waits for the work of every instance', t =>
  withPlanFleet(['entry-1', 'entry-2', 'entry-3'], async (fleet, clock) => {
    fleet.getInstance(2).runningCounts.set('engine-1', 1);
    const { id } = await submitRoleChange(fleet.getInstance(0));
    void fleet.getInstance(0).planRunner.advanceUntilStopped();
    await clock.tickAsync(20_000);
    t.like(await getPlan(fleet.getInstance(1), id), {
      state: 'waiting',
      waitingOn: ['1 running requests'],
    });
    t.is(fleet.getEngine('engine-1').simulator.role, 'mixed');
    t.true(
      fleet.instances.every(instance => instance.isTargetClosed('engine-1')),
    );
    fleet.getInstance(2).runningCounts.clear();
    await clock.tickAsync(20_000);
    t.is((await getPlan(fleet.getInstance(1), id)).state, 'done');
    t.is(fleet.getEngine('engine-1').simulator.role, 'prefill');
    t.false(
      fleet.instances.some(instance => instance.isTargetClosed('engine-1')),
    );
  }),
);

test.serial('a plan waits for an instance that cannot be asked', t =>
  withPlanFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
    fleet.isolateInstance(1);
    const { id } = await submitRoleChange(fleet.getInstance(0));
    void fleet.getInstance(0).planRunner.advanceUntilStopped();
    await clock.tickAsync(60_000);
    t.like(await getPlan(fleet.getInstance(0), id), {
      state: 'closing',
      waitingOn: ['instance entry-2'],
    });
    t.is(fleet.getEngine('engine-1').simulator.role, 'mixed');
    fleet.fleetList.setMemberState('entry-2', 'gone');
    await clock.tickAsync(20_000);
    t.is((await getPlan(fleet.getInstance(0), id)).state, 'done');
  }),
);

test.serial('another instance finishes the plan of one that died', t =>
  withPlanFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
    const { id } = await submitRoleChange(fleet.getInstance(0));
    void fleet.getInstance(0).planRunner.advanceUntilStopped();
    while ((await getPlan(fleet.getInstance(1), id)).state !== 'acting') {
      await clock.tickAsync(100);
    }
    fleet.getInstance(0).table.pauseAnswers();
    fleet.isolateInstance(0);
    fleet.fleetList.setMemberState('entry-1', 'gone');
    void fleet.getInstance(1).planRunner.advanceUntilStopped();
    await clock.tickAsync(60_000);
    t.is((await getPlan(fleet.getInstance(1), id)).state, 'done');
    t.is(fleet.getEngine('engine-1').simulator.role, 'prefill');
  }),
);

test.serial('a cancelled plan opens the target, and a late cancel misses', t =>
  withPlanFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
    fleet.getInstance(1).runningCounts.set('engine-1', 1);
    const first = await submitRoleChange(fleet.getInstance(0));
    const [stored] = (
      await fleet.getInstance(0).planStore.listOpenPlans()
    ).unsafeCoerce();
    if (stored === undefined) throw new Error('no plan');
    void fleet.getInstance(0).planRunner.advanceUntilStopped();
    await clock.tickAsync(settlingMs);
    t.true(
      (await fleet.getInstance(1).planManager.cancelPlan(first.id)).isRight(),
    );
    await clock.tickAsync(settlingMs);
    t.is((await getPlan(fleet.getInstance(0), first.id)).state, 'cancelled');
    t.false(
      fleet.instances.some(instance => instance.isTargetClosed('engine-1')),
    );
    const second = await submitRoleChange(fleet.getInstance(1));
    const late = { state: 'cancelling' as const };
    t.true(
      (
        await fleet.getInstance(0).planStore.updatePlan(stored, late, [])
      ).isLeft(),
    );
    await clock.tickAsync(settlingMs);
    t.is((await getPlan(fleet.getInstance(0), second.id)).state, 'waiting');
  }),
);

test.serial('a target has one open plan at a time', t =>
  withPlanFleet(['entry-1'], async fleet => {
    await submitRoleChange(fleet.getInstance(0));
    const again = await fleet
      .getInstance(0)
      .planManager.submitPlan(roleChangeRequest, 'ops');
    t.is(again.swap().toMaybe().extract()?.code, 'plan_conflict');
  }),
);

test.serial('a lost answer of the table neither doubles nor loses a plan', t =>
  withPlanFleet(['entry-1'], async (fleet, clock) => {
    fleet.table.faults.loseAnswers = 1;
    const submitted = submitRoleChange(fleet.getInstance(0));
    await clock.tickAsync(settlingMs);
    const { id } = await submitted;
    const open = (
      await fleet.getInstance(0).planStore.listOpenPlans()
    ).unsafeCoerce();
    t.deepEqual(
      open.map(({ plan }) => plan.id),
      [id],
    );
  }),
);
