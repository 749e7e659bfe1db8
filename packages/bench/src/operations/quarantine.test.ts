/**
 * Tests of the quarantine: a request that crashes targets is suspected, run in
 * isolation and refused after its second crash, even when instances stop or the
 * table is unavailable.
 */
import { Failure } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { OperationFleet } from './operation-fleet.js';
import type { OperationCall } from './operation-fleet.js';

const poisonCall: OperationCall = { operation: 'status', body: 'POISON' };

const createFleetFixture = (
  t: ExecutionContext,
  seed: number,
  targetsPerService = 6,
) => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  t.teardown(() => {
    clock.uninstall();
  });
  const fleet = new OperationFleet({
    seed,
    instanceCount: 4,
    targetsPerService,
  });
  fleet.setPoisonText('POISON');
  return { clock, fleet };
};

type FleetFixture = ReturnType<typeof createFleetFixture>;

/** Sends requests through several instances at once and returns their failure codes, or `answered`. */
const sendAndGetOutcomes = async (
  { fleet, clock }: FleetFixture,
  calls: readonly (readonly [number, OperationCall])[],
): Promise<string[]> => {
  const resultPromises = calls.map(([index, call]) =>
    fleet.sendRequest(index, call),
  );
  await clock.tickAsync(12_000);
  const results = (await Promise.all(resultPromises)).map(result =>
    result.extract(),
  );
  return results.map(result =>
    result instanceof Failure ? result.code : 'answered',
  );
};

test.serial(
  'a poison request sent again through every instance crashes two targets',
  async t => {
    const fixture = createFleetFixture(t, 1);
    for (let round = 0; round < 8; round += 1) {
      await sendAndGetOutcomes(fixture, [[round, poisonCall]]);
    }
    fixture.fleet.startInstance('e9');
    await fixture.clock.tickAsync(1_000);
    const outcomes = await sendAndGetOutcomes(fixture, [
      [0, poisonCall],
      [4, poisonCall],
      [4, { operation: 'status', body: 'other' }],
    ]);
    t.deepEqual(outcomes, ['poison_request', 'poison_request', 'answered']);
    t.is(fixture.fleet.crashCount, 2);
  },
);

test.serial(
  'concurrent first runs of a poison request crash two targets',
  async t => {
    const fixture = createFleetFixture(t, 2);
    fixture.fleet.delayResponses(20);
    const calls = [0, 1, 2, 3, 0, 1, 2, 3].map(i => [i, poisonCall] as const);
    const outcomes = await sendAndGetOutcomes(fixture, calls);
    t.is(fixture.fleet.crashCount, 2);
    t.true(outcomes.includes('poison_request'));
    t.deepEqual(await sendAndGetOutcomes(fixture, [[3, poisonCall]]), [
      'poison_request',
    ]);
  },
);

test.serial(
  'other requests that ran on a crashed target are answered',
  async t => {
    const fixture = createFleetFixture(t, 3, 3);
    fixture.fleet.delayResponses(200);
    const innocentCalls = Array.from({ length: 9 }, (_, i) => {
      const call: OperationCall = { operation: 'status', body: `{"n":${i}}` };
      return [i, call] as const;
    });
    const outcomesPromise = sendAndGetOutcomes(fixture, innocentCalls);
    const poisonResult = fixture.fleet.sendRequest(1, poisonCall);
    const outcomes = await outcomesPromise;
    t.deepEqual(new Set(outcomes), new Set(['answered']));
    t.is((await poisonResult).swap().unsafeCoerce().code, 'poison_request');
    t.is(fixture.fleet.crashCount, 2);
    const rows = fixture.fleet.table.listRows('quarantine');
    const states = rows.map(row => JSON.stringify(row.value));
    t.is(states.filter(value => value.includes('"poison"')).length, 1);
  },
);

test.serial(
  'a suspected request is refused with suspect_waiting while the table is down',
  async t => {
    const fixture = createFleetFixture(t, 4);
    fixture.fleet.table.faults.down = true;
    const outcomes = await sendAndGetOutcomes(fixture, [[0, poisonCall]]);
    t.deepEqual(outcomes, ['suspect_waiting']);
    const repeatedOutcomes = await sendAndGetOutcomes(fixture, [
      [1, poisonCall],
      [2, poisonCall],
      [3, { operation: 'status', body: 'other' }],
    ]);
    t.deepEqual(repeatedOutcomes, [
      'suspect_waiting',
      'suspect_waiting',
      'answered',
    ]);
    t.is(fixture.fleet.crashCount, 1);
    fixture.fleet.table.faults.down = false;
    await fixture.clock.tickAsync(5_000);
    t.deepEqual(await sendAndGetOutcomes(fixture, [[2, poisonCall]]), [
      'poison_request',
    ]);
    t.is(fixture.fleet.crashCount, 2);
  },
);

test.serial(
  'the crash count of a request survives the loss of an instance during an isolated run',
  async t => {
    const fixture = createFleetFixture(t, 5);
    const { fleet, clock } = fixture;
    await sendAndGetOutcomes(fixture, [
      [0, { operation: 'status', body: 'warm' }],
    ]);
    void fleet.getInstance(1).quarantine.recordCrash({
      target: 'booking-6',
      incarnation: 'old',
      fingerprints: ['voyageurs/booking/status/POISON'],
    });
    await clock.tickAsync(100);
    const lostInstance = fleet.getInstance(0);
    const { quarantine } = lostInstance;
    const permit = await quarantine.admitRun(
      'voyageurs/booking/status/POISON',
      new AbortController().signal,
      'booking-1',
    );
    await permit.unsafeCoerce().reserveTarget('booking-1');
    lostInstance.table.isDisconnected = true;
    fleet.network.isolatePeer('e1');
    await clock.tickAsync(61_000);
    t.deepEqual(await sendAndGetOutcomes(fixture, [[2, poisonCall]]), [
      'suspect_waiting',
    ]);
    t.is(fleet.crashCount, 0);
    fleet.getService('booking-1').crash();
    fleet.restartService('booking-1');
    fleet.confirmInstanceGone('e1');
    t.deepEqual(await sendAndGetOutcomes(fixture, [[2, poisonCall]]), [
      'poison_request',
    ]);
    t.is(fleet.crashCount, 1);
  },
);

test.serial(
  'a poison request during a drain crashes at most two targets',
  async t => {
    const fixture = createFleetFixture(t, 6, 5);
    const { fleet } = fixture;
    fleet.delayResponses(50);
    const outcomesPromise = sendAndGetOutcomes(fixture, [
      [0, poisonCall],
      [1, poisonCall],
      [2, { operation: 'status', body: 'innocent' }],
      [3, { key: 'k' }],
    ]);
    fleet.servicePool.leavingServices.add('booking-1');
    fleet.servicePool.leavingServices.add('booking-2');
    const outcomes = await outcomesPromise;
    t.is(outcomes[2], 'answered');
    t.true(fleet.crashCount <= 2, `${fleet.crashCount} crashes`);
    t.true(fleet.countExecutions('k') <= 1);
  },
);

test.serial('a cleared request runs without isolation again', async t => {
  const fixture = createFleetFixture(t, 7);
  const { fleet } = fixture;
  const fingerprint = 'voyageurs/booking/status/x';
  const crash = { target: 'gone', incarnation: '1' };
  const { quarantine } = fleet.getInstance(0);
  await quarantine.recordCrash({ ...crash, fingerprints: [fingerprint] });
  const call: OperationCall = { operation: 'status', body: 'x' };
  t.deepEqual(await sendAndGetOutcomes(fixture, [[1, call]]), ['answered']);
  await quarantine.recordCrash({ ...crash, fingerprints: [fingerprint] });
  await fixture.clock.tickAsync(11_000);
  const signal = new AbortController().signal;
  const permit = await fleet
    .getInstance(2)
    .quarantine.admitRun(fingerprint, signal, 'a');
  t.false(permit.unsafeCoerce().isIsolated);
});

test.serial(
  'a suspected request fails at its deadline while the table does not respond',
  async t => {
    const { fleet, clock } = createFleetFixture(t, 8);
    await fleet.getInstance(0).quarantine.recordCrash({
      target: 'gone',
      incarnation: '1',
      fingerprints: ['voyageurs/booking/status/x'],
    });
    fleet.getInstance(1).table.pauseAnswers();
    const resultPromise = fleet.sendRequest(1, {
      operation: 'status',
      body: 'x',
    });
    await clock.tickAsync(10_100);
    const suspectResult = await Promise.race([
      resultPromise,
      Promise.resolve(undefined),
    ]);
    t.is(suspectResult?.swap().unsafeCoerce().code, 'suspect_waiting');
    fleet.getInstance(1).table.resumeAnswers();
    await clock.tickAsync(1_000);
    const repeatedResult = fleet.sendRequest(2, {
      operation: 'status',
      body: 'x',
    });
    await clock.tickAsync(2_000);
    t.true((await repeatedResult).isRight());
  },
);
