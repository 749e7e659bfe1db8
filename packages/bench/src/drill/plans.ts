/** Faults in the middle of planned changes. */
import { withPausedClock } from '../control/fixtures.js';
import { PlanFleet } from '../plans/plan-fleet.js';
import type { PlanInstance } from '../plans/plan-fleet.js';

import type { Drill, DrillOutcome } from './drill.js';

type Clock = Parameters<Parameters<typeof withPausedClock>[0]>[0];

const settleMs = 5_000;
const patienceMs = 60_000;
const target = 'engine-1';

const withFleet = (
  run: (fleet: PlanFleet, clock: Clock) => Promise<DrillOutcome>,
): Promise<DrillOutcome> =>
  withPausedClock(async clock => {
    const fleet = new PlanFleet(['entry-1', 'entry-2', 'entry-3']);
    await clock.tickAsync(settleMs);
    const outcome = await run(fleet, clock);
    fleet.stop();
    await clock.tickAsync(settleMs);
    return outcome;
  });

const submit = async (instance: PlanInstance): Promise<string> => {
  const request = { kind: 'role', target, role: 'prefill' } as const;
  return (await instance.planner.submitPlan(request, 'drill')).unsafeCoerce()
    .id;
};

const stateOf = async (instance: PlanInstance, id: string): Promise<string> =>
  (await instance.planner.findPlan(id)).unsafeCoerce().state;

const unreachable: Drill = {
  fault: 'an instance cannot be asked during a role change',
  promise: 'the change waits until the platform says that it is gone',
  run: () =>
    withFleet(async (fleet, clock) => {
      fleet.isolate(1);
      const id = await submit(fleet.at(0));
      void fleet.at(0).runner.advanceUntilStopped();
      await clock.tickAsync(patienceMs);
      const waiting = await stateOf(fleet.at(0), id);
      const roleMeanwhile = fleet.engine(target).simulator.role;
      fleet.list.setMemberState('entry-2', 'gone');
      await clock.tickAsync(patienceMs);
      const ended = await stateOf(fleet.at(0), id);
      return {
        passed:
          waiting === 'closing' &&
          roleMeanwhile === 'mixed' &&
          ended === 'done',
        seen: `${waiting} while cut off, then ${ended}`,
      };
    }),
};

const storeOutage: Drill = {
  fault: 'the table is down in the middle of a role change',
  promise: 'the target stays closed meanwhile and the change ends afterwards',
  run: () =>
    withFleet(async (fleet, clock) => {
      fleet.at(2).running.set(target, 1);
      const id = await submit(fleet.at(0));
      void fleet.at(0).runner.advanceUntilStopped();
      await clock.tickAsync(settleMs);
      fleet.table.faults.down = true;
      fleet.at(2).running.clear();
      await clock.tickAsync(patienceMs);
      const closed = fleet.instances.every(each => each.isClosed(target));
      fleet.table.faults.down = false;
      await clock.tickAsync(2 * patienceMs);
      const ended = await stateOf(fleet.at(0), id);
      const opened = !fleet.instances.some(each => each.isClosed(target));
      return {
        passed: closed && opened && ended === 'done',
        seen: `closed everywhere: ${closed}, then ${ended}`,
      };
    }),
};

export const planDrills: readonly Drill[] = [unreachable, storeOutage];
