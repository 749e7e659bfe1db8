/** Tests of retries on other targets and of circuit breakers for operations. */
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

/** Sends one lookup every 10 ms and returns the results after another 15 s. */
const sendLookups = async (
  { clock, fleet }: ReturnType<typeof createFleetFixture>,
  count: number,
  service = 'booking',
) => {
  const resultPromises = [];
  for (let i = 0; i < count; i += 1) {
    const body = `{"n":${i}}`;
    resultPromises.push(
      fleet.sendRequest(i, { service, operation: 'status', body }),
    );
    await clock.tickAsync(10);
  }
  await clock.tickAsync(15_000);
  return (await Promise.all(resultPromises)).map(result => result.extract());
};

test.serial(
  'a call that a target refused without running it is sent to another target',
  async t => {
    const { clock, fleet } = createFleetFixture(t, {
      seed: 1,
      instanceCount: 1,
    });
    for (let i = 0; i < 30; i += 1) {
      void fleet.sendRequest(0, { operation: 'status', body: `{"n":${i}}` });
      await clock.tickAsync(1);
    }
    fleet.getService('booking-1').faults.refuse = true;
    for (let i = 0; i < 8; i += 1) {
      const resultPromise = fleet.sendRequest(0, { key: `k${i}` });
      await clock.tickAsync(20);
      t.true((await resultPromise).isRight());
      t.is(fleet.countExecutions(`k${i}`), 1);
    }
    t.true(fleet.getService('booking-1').callCounts.call > 0);
  },
);

test.serial(
  'a retry goes to another target and never to the same target twice',
  async t => {
    const fixture = createFleetFixture(t, { seed: 2, instanceCount: 1 });
    await sendLookups(fixture, 40);
    for (const { faults } of fixture.fleet.servicePool.services)
      faults.refuse = true;
    const attemptCounts = new Map<string, number>();
    for (const service of fixture.fleet.servicePool.services) {
      const callOriginal = service.callOperation.bind(service);
      service.callOperation = (request, signal) => {
        const attemptKey = `${request.id}@${service.name}`;
        attemptCounts.set(attemptKey, (attemptCounts.get(attemptKey) ?? 0) + 1);
        return callOriginal(request, signal);
      };
    }
    await sendLookups(fixture, 40);
    t.is(Math.max(...attemptCounts.values()), 1);
    t.true(
      new Set([...attemptCounts.keys()].map(key => key.split('@')[0])).size <
        attemptCounts.size,
    );
  },
);

test.serial('a target that has recovered gets requests again', async t => {
  const fixture = createFleetFixture(t, {
    seed: 3,
    instanceCount: 1,
    targetsPerService: 1,
  });
  const service = fixture.fleet.getService('booking-1');
  service.faults.refuse = true;
  await sendLookups(fixture, 50);
  t.true(service.callCounts.call < 10);
  service.faults.refuse = false;
  await fixture.clock.tickAsync(60_000);
  const bookingResult = fixture.fleet.sendRequest(0, { key: 'a' });
  await fixture.clock.tickAsync(1_000);
  await bookingResult;
  const outcomes = await sendLookups(fixture, 50);
  t.true(
    outcomes.every(outcome => 'status' in outcome && outcome.status === 200),
  );
});

test.serial(
  'a circuit breaker also closes on non-idempotent requests alone',
  async t => {
    const { clock, fleet } = createFleetFixture(t, {
      seed: 4,
      instanceCount: 1,
      targetsPerService: 1,
    });
    const service = fleet.getService('booking-1');
    service.faults.refuse = true;
    const bookAndWait = async (key: string) => {
      const resultPromise = fleet.sendRequest(0, { key, deadlineMs: 1_000 });
      await clock.tickAsync(3_000);
      return resultPromise;
    };
    for (let i = 0; i < 5; i += 1) await bookAndWait(`a${i}`);
    service.faults.refuse = false;
    await clock.tickAsync(60_000);
    await bookAndWait('b');
    t.true((await bookAndWait('c')).isRight());
  },
);
