/** Drills of maintenance plans: faults while a role change is in progress. */
import { withFakeClock } from '../control/fixtures.js';
import { PlanFleet } from '../plans/plan-fleet.js';
import type { PlanInstance } from '../plans/plan-fleet.js';

import type { Drill, DrillOutcome } from './drill.js';

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

/** Time for the background tasks to start or to stop. */
const settlingTimeMs = 5_000;
/** Milliseconds in which an unobstructed plan completes. */
const planTimeoutMs = 60_000;
const targetName = 'engine-1';

const withPlanFleet = (
  run: (fleet: PlanFleet, clock: Clock) => Promise<DrillOutcome>,
): Promise<DrillOutcome> =>
  withFakeClock(async clock => {
    const fleet = new PlanFleet(['entry-1', 'entry-2', 'entry-3']);
    await clock.tickAsync(settlingTimeMs);
    const outcome = await run(fleet, clock);
    fleet.stopInstances();
    await clock.tickAsync(settlingTimeMs);
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
  fault: 'an instance is unreachable during a role change',
  promise: 'the change waits until the platform reports the instance as gone',
  run: () =>
    withPlanFleet(async (fleet, clock) => {
      fleet.isolateInstance(1);
      const id = await submitRoleChange(fleet.getInstance(0));
      void fleet.getInstance(0).planRunner.advanceUntilStopped();
      await clock.tickAsync(planTimeoutMs);
      const stateDuringIsolation = await getPlanState(fleet.getInstance(0), id);
      const roleDuringIsolation = fleet.getEngine(targetName).simulator.role;
      fleet.fleetList.setMemberState('entry-2', 'gone');
      await clock.tickAsync(planTimeoutMs);
      const finalState = await getPlanState(fleet.getInstance(0), id);
      return {
        passed:
          stateDuringIsolation === 'closing' &&
          roleDuringIsolation === 'mixed' &&
          finalState === 'done',
        seen: `${stateDuringIsolation} while cut off, then ${finalState}`,
      };
    }),
};

const tableOutageDrill: Drill = {
  fault: 'the table is down during a role change',
  promise:
    'the target stays closed during the outage and the change completes afterwards',
  run: () =>
    withPlanFleet(async (fleet, clock) => {
      fleet.getInstance(2).runningCounts.set(targetName, 1);
      const id = await submitRoleChange(fleet.getInstance(0));
      void fleet.getInstance(0).planRunner.advanceUntilStopped();
      await clock.tickAsync(settlingTimeMs);
      fleet.table.faults.down = true;
      fleet.getInstance(2).runningCounts.clear();
      await clock.tickAsync(planTimeoutMs);
      const isClosedEverywhere = fleet.instances.every(instance =>
        instance.isTargetClosed(targetName),
      );
      fleet.table.faults.down = false;
      await clock.tickAsync(2 * planTimeoutMs);
      const finalState = await getPlanState(fleet.getInstance(0), id);
      const isOpenEverywhere = !fleet.instances.some(instance =>
        instance.isTargetClosed(targetName),
      );
      return {
        passed: isClosedEverywhere && isOpenEverywhere && finalState === 'done',
        seen: `closed everywhere: ${isClosedEverywhere}, then ${finalState}`,
      };
    }),
};

export const planDrills: readonly Drill[] = [
  unreachableInstanceDrill,
  tableOutageDrill,
];
