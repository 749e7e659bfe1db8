import { Failure } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { OperationFleet } from './operation-fleet.js';
import type { OperationCall } from './operation-fleet.js';

const poisonCall: OperationCall = { operation: 'status', body: 'POISON' };

const createFleetFixture = (t: ExecutionContext, seed: number, runners = 6) => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  t.teardown(() => {
    clock.uninstall();
  });
  const fleet = new OperationFleet({
    seed,
    instanceCount: 4,
    targetsPerService: runners,
  });
  fleet.setPoisonText('POISON');
  return { clock, fleet };
};

type FleetFixture = ReturnType<typeof createFleetFixture>;

/** Sends through several instances at once and gives the result names. */
const sendAndGetResultNames = async (
  { fleet, clock }: FleetFixture,
  sendings: readonly (readonly [number, OperationCall])[],
): Promise<string[]> => {
  const sent = sendings.map(([index, one]) => fleet.sendRequest(index, one));
  await clock.tickAsync(12_000);
  const outcomes = (await Promise.all(sent)).map(one => one.extract());
  return outcomes.map(one => (one instanceof Failure ? one.code : 'answered'));
};

test.serial('poison resent everywhere crashes two targets', async t => {
  const rig = createFleetFixture(t, 1);
  for (let round = 0; round < 8; round += 1) {
    await sendAndGetResultNames(rig, [[round, poisonCall]]);
  }
  rig.fleet.startInstance('e9');
  await rig.clock.tickAsync(1_000);
  const names = await sendAndGetResultNames(rig, [
    [0, poisonCall],
    [4, poisonCall],
    [4, { operation: 'status', body: 'other' }],
  ]);
  t.deepEqual(names, ['poison_request', 'poison_request', 'answered']);
  t.is(rig.fleet.crashCount, 2);
});

test.serial('concurrent first runs of poison crash two targets', async t => {
  const rig = createFleetFixture(t, 2);
  rig.fleet.delayResponses(20);
  const sendings = [0, 1, 2, 3, 0, 1, 2, 3].map(i => [i, poisonCall] as const);
  const names = await sendAndGetResultNames(rig, sendings);
  t.is(rig.fleet.crashCount, 2);
  t.true(names.includes('poison_request'));
  t.deepEqual(await sendAndGetResultNames(rig, [[3, poisonCall]]), [
    'poison_request',
  ]);
});

test.serial('innocent requests of a crashed target are answered', async t => {
  const rig = createFleetFixture(t, 3, 3);
  rig.fleet.delayResponses(200);
  const innocent = Array.from({ length: 9 }, (_, i) => {
    const sending: OperationCall = { operation: 'status', body: `{"n":${i}}` };
    return [i, sending] as const;
  });
  const sent = sendAndGetResultNames(rig, innocent);
  const bad = rig.fleet.sendRequest(1, poisonCall);
  const names = await sent;
  t.deepEqual(new Set(names), new Set(['answered']));
  t.is((await bad).swap().unsafeCoerce().code, 'poison_request');
  t.is(rig.fleet.crashCount, 2);
  const rows = rig.fleet.table.listRows('quarantine');
  const states = rows.map(row => JSON.stringify(row.value));
  t.is(states.filter(value => value.includes('"poison"')).length, 1);
});

test.serial('a suspect waits truthfully while the table is down', async t => {
  const rig = createFleetFixture(t, 4);
  rig.fleet.table.faults.down = true;
  const names = await sendAndGetResultNames(rig, [[0, poisonCall]]);
  t.deepEqual(names, ['suspect_waiting']);
  const again = await sendAndGetResultNames(rig, [
    [1, poisonCall],
    [2, poisonCall],
    [3, { operation: 'status', body: 'other' }],
  ]);
  t.deepEqual(again, ['suspect_waiting', 'suspect_waiting', 'answered']);
  t.is(rig.fleet.crashCount, 1);
  rig.fleet.table.faults.down = false;
  await rig.clock.tickAsync(5_000);
  t.deepEqual(await sendAndGetResultNames(rig, [[2, poisonCall]]), [
    'poison_request',
  ]);
  t.is(rig.fleet.crashCount, 2);
});

test.serial('an instance lost in a run apart restarts no count', async t => {
  const rig = createFleetFixture(t, 5);
  const { fleet, clock } = rig;
  await sendAndGetResultNames(rig, [
    [0, { operation: 'status', body: 'warm' }],
  ]);
  void fleet.getInstance(1).quarantine.recordCrash({
    target: 'booking-6',
    incarnation: 'old',
    fingerprints: ['voyageurs/booking/status/POISON'],
  });
  await clock.tickAsync(100);
  const lost = fleet.getInstance(0);
  const { quarantine } = lost;
  const passage = await quarantine.admitRun(
    'voyageurs/booking/status/POISON',
    new AbortController().signal,
    'booking-1',
  );
  await passage.unsafeCoerce().reserveTarget('booking-1');
  lost.table.isDisconnected = true;
  fleet.network.isolatePeer('e1');
  await clock.tickAsync(61_000);
  t.deepEqual(await sendAndGetResultNames(rig, [[2, poisonCall]]), [
    'suspect_waiting',
  ]);
  t.is(fleet.crashCount, 0);
  fleet.getService('booking-1').crash();
  fleet.restartService('booking-1');
  fleet.confirmInstanceGone('e1');
  t.deepEqual(await sendAndGetResultNames(rig, [[2, poisonCall]]), [
    'poison_request',
  ]);
  t.is(fleet.crashCount, 1);
});

test.serial('poison during a drain spares the rest of the fleet', async t => {
  const rig = createFleetFixture(t, 6, 5);
  const { fleet } = rig;
  fleet.delayResponses(50);
  const sending = sendAndGetResultNames(rig, [
    [0, poisonCall],
    [1, poisonCall],
    [2, { operation: 'status', body: 'innocent' }],
    [3, { key: 'k' }],
  ]);
  fleet.servicePool.leavingServices.add('booking-1');
  fleet.servicePool.leavingServices.add('booking-2');
  const names = await sending;
  t.is(names[2], 'answered');
  t.true(fleet.crashCount <= 2, `${fleet.crashCount} crashes`);
  t.true(fleet.countExecutions('k') <= 1);
});

test.serial('a cleared request runs beside others again', async t => {
  const rig = createFleetFixture(t, 7);
  const { fleet } = rig;
  const fingerprint = 'voyageurs/booking/status/x';
  const crash = { target: 'gone', incarnation: '1' };
  const { quarantine } = fleet.getInstance(0);
  await quarantine.recordCrash({ ...crash, fingerprints: [fingerprint] });
  const sending: OperationCall = { operation: 'status', body: 'x' };
  t.deepEqual(await sendAndGetResultNames(rig, [[1, sending]]), ['answered']);
  await quarantine.recordCrash({ ...crash, fingerprints: [fingerprint] });
  await rig.clock.tickAsync(11_000);
  const signal = new AbortController().signal;
  const passage = await fleet
    .getInstance(2)
    .quarantine.admitRun(fingerprint, signal, 'a');
  t.false(passage.unsafeCoerce().isIsolated);
});

test.serial('a suspect ends by its deadline while the table hangs', async t => {
  const { fleet, clock } = createFleetFixture(t, 8);
  await fleet.getInstance(0).quarantine.recordCrash({
    target: 'gone',
    incarnation: '1',
    fingerprints: ['voyageurs/booking/status/x'],
  });
  fleet.getInstance(1).table.pauseAnswers();
  const sent = fleet.sendRequest(1, { operation: 'status', body: 'x' });
  await clock.tickAsync(10_100);
  const refused = await Promise.race([sent, Promise.resolve(undefined)]);
  t.is(refused?.swap().unsafeCoerce().code, 'suspect_waiting');
  fleet.getInstance(1).table.resumeAnswers();
  await clock.tickAsync(1_000);
  const again = fleet.sendRequest(2, { operation: 'status', body: 'x' });
  await clock.tickAsync(2_000);
  t.true((await again).isRight());
});
