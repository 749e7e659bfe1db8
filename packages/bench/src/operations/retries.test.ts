import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { OperationFleet } from './operation-fleet.js';
import type { OperationFleetOptions } from './operation-fleet.js';

const createFleetFixture = (
  t: ExecutionContext,
  options: OperationFleetOptions,
) => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  t.teardown(() => {
    clock.uninstall();
  });
  return { clock, fleet: new OperationFleet(options) };
};

/** Sends lookups at a steady pace and gives their outcomes. */
const sendLookups = async (
  { clock, fleet }: ReturnType<typeof createFleetFixture>,
  count: number,
  service = 'booking',
) => {
  const sent = [];
  for (let i = 0; i < count; i += 1) {
    const body = `{"n":${i}}`;
    sent.push(fleet.sendRequest(i, { service, operation: 'status', body }));
    await clock.tickAsync(10);
  }
  await clock.tickAsync(15_000);
  return (await Promise.all(sent)).map(one => one.extract());
};

test.serial('a call that was not run moves to another target', async t => {
  const { clock, fleet } = createFleetFixture(t, { seed: 1, instanceCount: 1 });
  for (let i = 0; i < 30; i += 1) {
    void fleet.sendRequest(0, { operation: 'status', body: `{"n":${i}}` });
    await clock.tickAsync(1);
  }
  fleet.getService('booking-1').faults.refuse = true;
  for (let i = 0; i < 8; i += 1) {
    const sent = fleet.sendRequest(0, { key: `k${i}` });
    await clock.tickAsync(20);
    t.true((await sent).isRight());
    t.is(fleet.countExecutions(`k${i}`), 1);
  }
  t.true(fleet.getService('booking-1').callCounts.call > 0);
});

test.serial('a retry goes to another target, never twice to one', async t => {
  const rig = createFleetFixture(t, { seed: 2, instanceCount: 1 });
  await sendLookups(rig, 40);
  for (const { faults } of rig.fleet.servicePool.services) faults.refuse = true;
  const seen = new Map<string, number>();
  for (const service of rig.fleet.servicePool.services) {
    const call = service.callOperation.bind(service);
    service.callOperation = (given, signal) => {
      const place = `${given.id}@${service.name}`;
      seen.set(place, (seen.get(place) ?? 0) + 1);
      return call(given, signal);
    };
  }
  await sendLookups(rig, 40);
  t.is(Math.max(...seen.values()), 1);
  t.true(
    new Set([...seen.keys()].map(key => key.split('@')[0])).size < seen.size,
  );
});

test.serial('a target that recovers gets work again', async t => {
  const rig = createFleetFixture(t, {
    seed: 3,
    instanceCount: 1,
    targetsPerService: 1,
  });
  const service = rig.fleet.getService('booking-1');
  service.faults.refuse = true;
  await sendLookups(rig, 50);
  t.true(service.callCounts.call < 10);
  service.faults.refuse = false;
  await rig.clock.tickAsync(60_000);
  const booked = rig.fleet.sendRequest(0, { key: 'a' });
  await rig.clock.tickAsync(1_000);
  await booked;
  const outcomes = await sendLookups(rig, 50);
  t.true(
    outcomes.every(outcome => 'status' in outcome && outcome.status === 200),
  );
});

test.serial('non-idempotent traffic alone also closes a circuit', async t => {
  const { clock, fleet } = createFleetFixture(t, {
    seed: 4,
    instanceCount: 1,
    targetsPerService: 1,
  });
  const service = fleet.getService('booking-1');
  service.faults.refuse = true;
  const book = async (key: string) => {
    const sent = fleet.sendRequest(0, { key, deadlineMs: 1_000 });
    await clock.tickAsync(3_000);
    return sent;
  };
  for (let i = 0; i < 5; i += 1) await book(`a${i}`);
  service.faults.refuse = false;
  await clock.tickAsync(60_000);
  await book('b');
  t.true((await book('c')).isRight());
});
