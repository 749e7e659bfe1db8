/**
 * Tests of idempotency keys: repeated and concurrent requests, table outages, lost
 * responses, replaced instances and expired keys.
 */
import { Failure } from '@medlarlever/core';
import type { OperationResponse } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { OperationFleet } from './operation-fleet.js';
import type {
  OperationFleetOptions,
  OperationCall,
} from './operation-fleet.js';

interface FleetFixture {
  readonly fleet: OperationFleet;
  readonly clock: FakeTimers.Clock;
}

const withOperationFleet = async (
  t: ExecutionContext,
  options: Partial<OperationFleetOptions>,
  run: (fixture: FleetFixture) => Promise<void>,
) => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  t.teardown(() => {
    clock.uninstall();
  });
  await run({ fleet: new OperationFleet({ seed: 1, ...options }), clock });
  clock.uninstall();
};

/** Sends a request, advances the clock to its deadline and returns the response or failure. */
const sendAndAwait = async (
  { fleet, clock }: FleetFixture,
  index: number,
  call: OperationCall,
) => {
  const resultPromise = fleet.sendRequest(index, call);
  await clock.tickAsync(call.deadlineMs ?? 10_000);
  return (await resultPromise).extract();
};

/** Returns the response that a repeated request with the same key must get; throws a failure. */
const markRepeated = (result: OperationResponse | Failure) => {
  if (result instanceof Failure) throw result;
  return { ...result, isReplayed: true };
};

const getCodeAndExecution = (value: object) =>
  'code' in value && 'executed' in value ? [value.code, value.executed] : value;

test.serial(
  'a repeated request through another instance gets the stored response',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const first = await sendAndAwait(fixture, 0, { key: 'k' });
      const second = await sendAndAwait(fixture, 1, { key: 'k' });
      t.deepEqual(second, markRepeated(first));
      t.is(fixture.fleet.countExecutions('k'), 1);
    }),
);

test.serial(
  'concurrent requests with the same key run once and share the response',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet, clock } = fixture;
      for (const service of fleet.servicePool.services)
        service.faults.slowMs = 700;
      const resultPromises = [0, 1, 0, 1].map(i =>
        fleet.sendRequest(i, { key: 'k' }),
      );
      await clock.tickAsync(5_000);
      const bodies = (await Promise.all(resultPromises)).map(
        result => result.unsafeCoerce().body,
      );
      t.is(new Set(bodies).size, 1);
      t.is(fleet.countExecutions('k'), 1);
    }),
);

test.serial(
  'a reused key with another body is a conflict and a missing key is refused',
  t =>
    withOperationFleet(t, {}, async fixture => {
      await sendAndAwait(fixture, 0, { key: 'k', body: '{"fee":1}' });
      const result = await sendAndAwait(fixture, 1, {
        key: 'k',
        body: '{"fee":2}',
      });
      t.deepEqual(getCodeAndExecution(result), ['key_conflict', 'no']);
      t.deepEqual(getCodeAndExecution(await sendAndAwait(fixture, 0, {})), [
        'key_required',
        'no',
      ]);
    }),
);

test.serial(
  'during a table outage keyed requests are refused and idempotent operations continue',
  t =>
    withOperationFleet(t, {}, async fixture => {
      fixture.fleet.table.faults.down = true;
      const refusedResult = fixture.fleet.sendRequest(0, { key: 'k' });
      const lookupResult = fixture.fleet.sendRequest(0, {
        operation: 'status',
      });
      await fixture.clock.tickAsync(10);
      t.deepEqual(getCodeAndExecution((await refusedResult).extract()), [
        'claim_unavailable',
        'no',
      ]);
      t.true((await lookupResult).isRight());
      t.is(fixture.fleet.countExecutions('k'), 0);
    }),
);

for (const fault of ['loseAnswers', 'delayEffects'] as const) {
  test.serial(
    `a claim write with the fault ${fault} is resolved by its token`,
    t =>
      withOperationFleet(t, {}, async fixture => {
        fixture.fleet.table.faults[fault] = 2;
        const first = await sendAndAwait(fixture, 0, { key: 'k' });
        const second = await sendAndAwait(fixture, 1, { key: 'k' });
        t.deepEqual(second, markRepeated(first));
        t.is(fixture.fleet.countExecutions('k'), 1);
        t.is(fixture.fleet.getInstance(0).executor.unstoredCount, 0);
      }),
  );
}

test.serial(
  'a claim is recognised by its row after the table has dropped its token',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet, clock } = fixture;
      fleet.table.faults.loseAnswers = 1;
      const resultPromise = fleet.sendRequest(0, {
        key: 'k',
        deadlineMs: 1_800_000,
      });
      await clock.tickAsync(10);
      fleet.table.faults.down = true;
      await clock.tickAsync(900_000);
      fleet.table.faults.down = false;
      await clock.tickAsync(10_000);
      t.like((await resultPromise).extract(), {
        status: 200,
        isReplayed: false,
      });
      t.is(fleet.countExecutions('k'), 1);
    }),
);

test.serial(
  'a paused claimant with a lost claim response does not run the request after its deadline',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet, clock } = fixture;
      fleet.table.faults.loseAnswers = 1;
      fleet.getInstance(0).table.pauseAnswers();
      const pausedResult = fleet.sendRequest(0, {
        key: 'k',
        deadlineMs: 2_000,
      });
      await clock.tickAsync(3_000);
      t.deepEqual(getCodeAndExecution((await pausedResult).extract()), [
        'claim_unavailable',
        'no',
      ]);
      const waitingResult = await sendAndAwait(fixture, 1, {
        key: 'k',
        deadlineMs: 1_000,
      });
      t.deepEqual(getCodeAndExecution(waitingResult), [
        'still_running',
        'unknown',
      ]);
      fleet.getInstance(0).table.resumeAnswers();
      await clock.tickAsync(5_000);
      t.is(fleet.countExecutions('k'), 0);
      const lastResult = await sendAndAwait(fixture, 1, { key: 'k' });
      t.like(lastResult, { status: 200, isReplayed: false });
      t.is(fleet.countExecutions('k'), 1);
    }),
);

test.serial('a claim of an instance that is gone has an unknown outcome', t =>
  withOperationFleet(t, {}, async fixture => {
    const { fleet, clock } = fixture;
    fleet.getInstance(0).table.pauseAnswers();
    void fleet.sendRequest(0, { key: 'k' });
    await clock.tickAsync(10);
    fleet.confirmInstanceGone('e1');
    const result = await sendAndAwait(fixture, 1, { key: 'k' });
    t.deepEqual(getCodeAndExecution(result), ['outcome_unknown', 'unknown']);
    t.is(fleet.countExecutions('k'), 0);
  }),
);

test.serial(
  'a table outage during the run does not delay the response, and the result is stored afterwards',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet, clock } = fixture;
      for (const service of fleet.servicePool.services)
        service.faults.slowMs = 100;
      const resultPromise = fleet.sendRequest(0, { key: 'k' });
      await clock.tickAsync(50);
      fleet.table.faults.down = true;
      await clock.tickAsync(600);
      const first = (await resultPromise).unsafeCoerce();
      await clock.tickAsync(30_000);
      t.is(fleet.getInstance(0).executor.unstoredCount, 1);
      fleet.table.faults.down = false;
      await clock.tickAsync(3_000);
      t.is(fleet.getInstance(0).executor.unstoredCount, 0);
      const second = await sendAndAwait(fixture, 1, { key: 'k' });
      t.deepEqual(second, markRepeated(first));
    }),
);

test.serial(
  'a key does not run twice when its instance is replaced during a table outage',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet, clock } = fixture;
      for (const service of fleet.servicePool.services)
        service.faults.slowMs = 100;
      const resultPromise = fleet.sendRequest(0, { key: 'k' });
      await clock.tickAsync(50);
      fleet.table.faults.down = true;
      await clock.tickAsync(700);
      t.true((await resultPromise).isRight());
      fleet.getInstance(0).table.isDisconnected = true;
      fleet.confirmInstanceGone('e1');
      fleet.startInstance('e3');
      fleet.table.faults.down = false;
      const result = await sendAndAwait(fixture, 2, { key: 'k' });
      t.deepEqual(getCodeAndExecution(result), ['outcome_unknown', 'unknown']);
      t.is(fleet.countExecutions('k'), 1);
    }),
);

test.serial(
  'a request that a target refused without running it releases the key',
  t =>
    withOperationFleet(t, { targetsPerService: 1 }, async fixture => {
      const { fleet } = fixture;
      fleet.getService('booking-1').faults.refuse = true;
      const refusedResult = await sendAndAwait(fixture, 0, { key: 'k' });
      t.deepEqual(getCodeAndExecution(refusedResult), [
        'target_rejected',
        'no',
      ]);
      fleet.getService('booking-1').faults.refuse = false;
      t.like(await sendAndAwait(fixture, 1, { key: 'k' }), { status: 200 });
      t.is(fleet.countExecutions('k'), 1);
    }),
);

test.serial('a request whose target response was lost is not run again', t =>
  withOperationFleet(t, {}, async fixture => {
    for (const service of fixture.fleet.servicePool.services) {
      service.faults.loseAnswers = 1;
    }
    const lostResult = await sendAndAwait(fixture, 0, { key: 'k' });
    t.deepEqual(getCodeAndExecution(lostResult), ['target_failed', 'unknown']);
    const repeatedResult = await sendAndAwait(fixture, 1, { key: 'k' });
    t.deepEqual(getCodeAndExecution(repeatedResult), [
      'outcome_unknown',
      'unknown',
    ]);
    t.is(fixture.fleet.countExecutions('k'), 1);
  }),
);

test.serial(
  'a repeated request fails at its deadline while the table does not respond',
  t =>
    withOperationFleet(t, {}, async ({ fleet, clock }) => {
      fleet.delayResponses(4_000);
      void fleet.sendRequest(0, { key: 'k' });
      await clock.tickAsync(100);
      const repeatedResult = fleet.sendRequest(1, {
        key: 'k',
        deadlineMs: 2_000,
      });
      await clock.tickAsync(10);
      fleet.getInstance(1).table.pauseAnswers();
      await clock.tickAsync(2_000);
      const result = await Promise.race([
        repeatedResult,
        Promise.resolve(undefined),
      ]);
      t.deepEqual(getCodeAndExecution(result?.extract() ?? {}), [
        'still_running',
        'unknown',
      ]);
    }),
);

test.serial('a caller that disconnects does not stop the run', t =>
  withOperationFleet(t, {}, async fixture => {
    const { fleet, clock } = fixture;
    for (const service of fleet.servicePool.services)
      service.faults.slowMs = 500;
    const callerAbort = new AbortController();
    void fleet.sendRequest(0, { key: 'k' }, callerAbort.signal);
    await clock.tickAsync(100);
    callerAbort.abort();
    const repeatedResult = await sendAndAwait(fixture, 1, { key: 'k' });
    t.like(repeatedResult, { status: 200, isReplayed: true });
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('an expired key is refused and not run again', t =>
  withOperationFleet(t, {}, async fixture => {
    const { fleet, clock } = fixture;
    const timestampKey = '019b76da-a800-7000-8000-000000000001';
    await sendAndAwait(fixture, 0, { key: 'plain' });
    await sendAndAwait(fixture, 0, { key: timestampKey });
    clock.setSystemTime(Date.now() + 169 * 3_600_000);
    for (const key of ['plain', timestampKey]) {
      const result = await sendAndAwait(fixture, 1, { key });
      t.deepEqual(getCodeAndExecution(result), ['key_expired', 'unknown']);
      t.is(fleet.countExecutions(key), 1);
    }
    const expiredUnusedKey = '019b76da-a800-7000-8000-000000000002';
    t.like(await sendAndAwait(fixture, 0, { key: expiredUnusedKey }), {
      code: 'key_expired',
    });
    t.is(fleet.countExecutions(expiredUnusedKey), 0);
    const futureKey = '01ffffff-ffff-7000-8000-000000000001';
    t.like(await sendAndAwait(fixture, 0, { key: futureKey }), {
      code: 'invalid_request',
    });
  }),
);

test.serial(
  'a customer that exceeds its claim rate does not affect another customer',
  t =>
    withOperationFleet(t, { claimsPerMinute: 60 }, async fixture => {
      const { fleet, clock } = fixture;
      const burstResults = Array.from({ length: 100 }, (_, i) =>
        fleet.sendRequest(0, { key: `k${i}` }),
      );
      const otherCustomerResult = fleet.sendRequest(0, {
        key: 'k',
        customer: 'andina',
      });
      await clock.tickAsync(1_000);
      const outcomes = (await Promise.all(burstResults)).map(result =>
        result.extract(),
      );
      const rateLimited = outcomes.filter(
        result => 'code' in result && result.code === 'rate_limited',
      );
      t.is(rateLimited.length, 85);
      t.true((await otherCustomerResult).isRight());
      t.is(fleet.table.callCounts.commit, 2 * 16);
    }),
);

/** Gives every instance an answer of the restored table, which shows the new era. */
const showRestore = async ({ fleet, clock }: FleetFixture) => {
  for (const { table } of fleet.instances) void table.readRows([]);
  await clock.tickAsync(100);
};

test.serial('an operation whose record a restore lost is not run again', t =>
  withOperationFleet(t, {}, async fixture => {
    const { fleet, clock } = fixture;
    const backup = fleet.table.createBackup();
    const first = await sendAndAwait(fixture, 0, { key: 'k' });
    fleet.table.restoreBackup(backup);
    await showRestore(fixture);
    await clock.tickAsync(5_000);
    const repeated = await sendAndAwait(fixture, 1, { key: 'k' });
    t.deepEqual(repeated, markRepeated(first));
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial(
  'no key is claimed until lost records had time to be written again',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet } = fixture;
      const backup = fleet.table.createBackup();
      await sendAndAwait(fixture, 0, { key: 'k' });
      fleet.instances[0]?.table.pauseAnswers();
      fleet.table.restoreBackup(backup);
      await showRestore(fixture);
      const refused = await sendAndAwait(fixture, 1, {
        key: 'k',
        deadlineMs: 1_000,
      });
      t.deepEqual(getCodeAndExecution(refused), ['claim_unavailable', 'no']);
      t.is(fleet.countExecutions('k'), 1);
    }),
);

test.serial(
  'a run during which the table is restored stores its result in the new era',
  t =>
    withOperationFleet(t, {}, async fixture => {
      const { fleet, clock } = fixture;
      fleet.delayResponses(3_000);
      const backup = fleet.table.createBackup();
      const running = fleet.sendRequest(0, { key: 'k' });
      await clock.tickAsync(500);
      fleet.table.restoreBackup(backup);
      await showRestore(fixture);
      await clock.tickAsync(8_000);
      t.true((await running).isRight());
      const repeated = await sendAndAwait(fixture, 1, { key: 'k' });
      t.like(repeated, { isReplayed: true });
      t.is(fleet.countExecutions('k'), 1);
    }),
);
