/** Faults in the middle of planned changes. */
import { withFakeClock } from '../control/fixtures.js';
import { PlanFleet } from '../plans/plan-fleet.js';
import type { PlanInstance } from '../plans/plan-fleet.js';

import type { Drill, DrillOutcome } from './drill.js';

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

const settlingMs = 5_000;
const planTimeoutMs = 60_000;
const targetName = 'engine-1';

const withPlanFleet = (
  run: (fleet: PlanFleet, clock: Clock) => Promise<DrillOutcome>,
): Promise<DrillOutcome> =>
  withFakeClock(async clock => {
    const fleet = new PlanFleet(['entry-1', 'entry-2', 'entry-3']);
    await clock.tickAsync(settlingMs);
    const outcome = await run(fleet, clock);
    fleet.stopInstances();
    await clock.tickAsync(settlingMs);
    return outcome;
  });

const submitRoleChange = async (instance: PlanInstance): Promise<string> => {
  const request = {
    kind: 'role',
    target: targetName,
    role: 'prefill',
  } as const;
  return (
    await instance.planManager.submitPlan(request, 'drill')
  ).unsafeCoerce().id;
};

const getPlanState = async (
  instance: PlanInstance,
  id: string,
): Promise<string> =>
  (await instance.planManager.findPlan(id)).unsafeCoerce().state;

const unreachableInstanceDrill: Drill = {
  fault: 'an instance cannot be asked during a role change',
  promise: 'the change waits until the platform says that it is gone',
  run: () =>
    withPlanFleet(async (fleet, clock) => {
      fleet.isolateInstance(1);
      const id = await submitRoleChange(fleet.getInstance(0));
      void fleet.getInstance(0).planRunner.advanceUntilStopped();
      await clock.tickAsync(planTimeoutMs);
      const waiting = await getPlanState(fleet.getInstance(0), id);
      const roleMeanwhile = fleet.getEngine(targetName).simulator.role;
      fleet.fleetList.setMemberState('entry-2', 'gone');
      await clock.tickAsync(planTimeoutMs);
      const ended = await getPlanState(fleet.getInstance(0), id);
      return {
        passed:
          waiting === 'closing' &&
          roleMeanwhile === 'mixed' &&
          ended === 'done',
        seen: `${waiting} while cut off, then ${ended}`,
      };
    }),
};

const tableOutageDrill: Drill = {
  fault: 'the table is down in the middle of a role change',
  promise: 'the target stays closed meanwhile and the change ends afterwards',
  run: () =>
    withPlanFleet(async (fleet, clock) => {
      fleet.getInstance(2).runningCounts.set(targetName, 1);
      const id = await submitRoleChange(fleet.getInstance(0));
      void fleet.getInstance(0).planRunner.advanceUntilStopped();
      await clock.tickAsync(settlingMs);
      fleet.table.faults.down = true;
      fleet.getInstance(2).runningCounts.clear();
      await clock.tickAsync(planTimeoutMs);
      const closed = fleet.instances.every(each =>
        each.isTargetClosed(targetName),
      );
      fleet.table.faults.down = false;
      await clock.tickAsync(2 * planTimeoutMs);
      const ended = await getPlanState(fleet.getInstance(0), id);
      const opened = !fleet.instances.some(each =>
        each.isTargetClosed(targetName),
      );
      return {
        passed: closed && opened && ended === 'done',
        seen: `closed everywhere: ${closed}, then ${ended}`,
      };
    }),
};

export const planDrills: readonly Drill[] = [
  unreachableInstanceDrill,
  tableOutageDrill,
];
