/**
 * Tests of maintenance plans on several instances: running requests, unreachable
 * instances, takeover, cancellation and lost table responses.
 */
import type { MaintenancePlan } from '@medlarlever/core';
import test from 'ava';

import { withFakeClock } from '../control/fixtures.js';

import { PlanFleet } from './plan-fleet.js';
import type { PlanInstance } from './plan-fleet.js';

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

/** Time for the background tasks and the plan runner to reach a stable state. */
const settlingTimeMs = 5_000;

const withPlanFleet = (
  names: readonly string[],
  run: (fleet: PlanFleet, clock: Clock) => Promise<void>,
) =>
  withFakeClock(async clock => {
    const fleet = new PlanFleet(names);
    await clock.tickAsync(settlingTimeMs);
    await run(fleet, clock);
    fleet.stopInstances();
    await clock.tickAsync(settlingTimeMs);
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

test.serial(
  'a role change waits until no instance has running requests on the target',
  t =>
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

test.serial('a plan waits for an unreachable instance until it is gone', t =>
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

test.serial(
  'another instance completes the plan of an instance that is gone',
  t =>
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

test.serial(
  'a cancelled plan reopens the target, and a stale cancellation does not affect the next plan',
  t =>
    withPlanFleet(['entry-1', 'entry-2'], async (fleet, clock) => {
      fleet.getInstance(1).runningCounts.set('engine-1', 1);
      const first = await submitRoleChange(fleet.getInstance(0));
      const [storedPlan] = (
        await fleet.getInstance(0).planStore.listOpenPlans()
      ).unsafeCoerce();
      if (storedPlan === undefined)
        throw new Error('the plan store lists no open plan');
      void fleet.getInstance(0).planRunner.advanceUntilStopped();
      await clock.tickAsync(settlingTimeMs);
      t.true(
        (await fleet.getInstance(1).planManager.cancelPlan(first.id)).isRight(),
      );
      await clock.tickAsync(settlingTimeMs);
      t.is((await getPlan(fleet.getInstance(0), first.id)).state, 'cancelled');
      t.false(
        fleet.instances.some(instance => instance.isTargetClosed('engine-1')),
      );
      const second = await submitRoleChange(fleet.getInstance(1));
      const staleUpdate = { state: 'cancelling' as const };
      t.true(
        (
          await fleet
            .getInstance(0)
            .planStore.updatePlan(storedPlan, staleUpdate, [])
        ).isLeft(),
      );
      await clock.tickAsync(settlingTimeMs);
      t.is((await getPlan(fleet.getInstance(0), second.id)).state, 'waiting');
    }),
);

test.serial('a second plan for a target with an open plan is refused', t =>
  withPlanFleet(['entry-1'], async fleet => {
    await submitRoleChange(fleet.getInstance(0));
    const secondResult = await fleet
      .getInstance(0)
      .planManager.submitPlan(roleChangeRequest, 'ops');
    t.is(secondResult.swap().toMaybe().extract()?.code, 'plan_conflict');
  }),
);

test.serial('a lost table response neither duplicates nor loses a plan', t =>
  withPlanFleet(['entry-1'], async (fleet, clock) => {
    fleet.table.faults.loseAnswers = 1;
    const planPromise = submitRoleChange(fleet.getInstance(0));
    await clock.tickAsync(settlingTimeMs);
    const { id } = await planPromise;
    const openPlans = (
      await fleet.getInstance(0).planStore.listOpenPlans()
    ).unsafeCoerce();
    t.deepEqual(
      openPlans.map(({ plan }) => plan.id),
      [id],
    );
  }),
);
