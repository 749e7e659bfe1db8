import { Failure } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { OperationFleet } from './operation-fleet.js';
import type { Sending } from './operation-fleet.js';

const poisonous: Sending = { operation: 'status', body: 'POISON' };

const newRig = (t: ExecutionContext, seed: number, runners = 6) => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  t.teardown(() => {
    clock.uninstall();
  });
  const fleet = new OperationFleet({ seed, instances: 4, runners });
  fleet.poison('POISON');
  return { clock, fleet };
};

type Rig = ReturnType<typeof newRig>;

/** Sends through several instances at once and gives the result names. */
const namesOf = async (
  { fleet, clock }: Rig,
  sendings: readonly (readonly [number, Sending])[],
): Promise<string[]> => {
  const sent = sendings.map(([index, one]) => fleet.send(index, one));
  await clock.tickAsync(12_000);
  const outcomes = (await Promise.all(sent)).map(one => one.extract());
  return outcomes.map(one => (one instanceof Failure ? one.code : 'answered'));
};

test.serial('poison resent everywhere crashes two targets', async t => {
  const rig = newRig(t, 1);
  for (let round = 0; round < 8; round += 1) {
    await namesOf(rig, [[round, poisonous]]);
  }
  rig.fleet.start('e9');
  await rig.clock.tickAsync(1_000);
  const names = await namesOf(rig, [
    [0, poisonous],
    [4, poisonous],
    [4, { operation: 'status', body: 'other' }],
  ]);
  t.deepEqual(names, ['poison_request', 'poison_request', 'answered']);
  t.is(rig.fleet.crashes, 2);
});

test.serial('concurrent first runs of poison crash two targets', async t => {
  const rig = newRig(t, 2);
  rig.fleet.slow(20);
  const sendings = [0, 1, 2, 3, 0, 1, 2, 3].map(i => [i, poisonous] as const);
  const names = await namesOf(rig, sendings);
  t.is(rig.fleet.crashes, 2);
  t.true(names.includes('poison_request'));
  t.deepEqual(await namesOf(rig, [[3, poisonous]]), ['poison_request']);
});

test.serial('innocent requests of a crashed target are answered', async t => {
  const rig = newRig(t, 3, 3);
  rig.fleet.slow(200);
  const innocent = Array.from({ length: 9 }, (_, i) => {
    const sending: Sending = { operation: 'status', body: `{"n":${i}}` };
    return [i, sending] as const;
  });
  const sent = namesOf(rig, innocent);
  const bad = rig.fleet.send(1, poisonous);
  const names = await sent;
  t.deepEqual(new Set(names), new Set(['answered']));
  t.is((await bad).swap().unsafeCoerce().code, 'poison_request');
  t.is(rig.fleet.crashes, 2);
  const rows = rig.fleet.table.listRows('quarantine');
  const states = rows.map(row => JSON.stringify(row.value));
  t.is(states.filter(value => value.includes('"poison"')).length, 1);
});

test.serial('a suspect waits truthfully while the table is down', async t => {
  const rig = newRig(t, 4);
  rig.fleet.table.faults.down = true;
  const names = await namesOf(rig, [[0, poisonous]]);
  t.deepEqual(names, ['suspect_waiting']);
  const again = await namesOf(rig, [
    [1, poisonous],
    [2, poisonous],
    [3, { operation: 'status', body: 'other' }],
  ]);
  t.deepEqual(again, ['suspect_waiting', 'suspect_waiting', 'answered']);
  t.is(rig.fleet.crashes, 1);
  rig.fleet.table.faults.down = false;
  await rig.clock.tickAsync(5_000);
  t.deepEqual(await namesOf(rig, [[2, poisonous]]), ['poison_request']);
  t.is(rig.fleet.crashes, 2);
});

test.serial('an instance lost in a run apart restarts no count', async t => {
  const rig = newRig(t, 5);
  const { fleet, clock } = rig;
  await namesOf(rig, [[0, { operation: 'status', body: 'warm' }]]);
  void fleet.at(1).quarantine.recordCrash({
    target: 'booking-6',
    incarnation: 'old',
    fingerprints: ['voyageurs/booking/status/POISON'],
  });
  await clock.tickAsync(100);
  const lost = fleet.at(0);
  const { quarantine } = lost;
  const passage = await quarantine.admitRun(
    'voyageurs/booking/status/POISON',
    new AbortController().signal,
    'booking-1',
  );
  await passage.unsafeCoerce().reserveTarget('booking-1');
  lost.table.cutOff = true;
  fleet.network.isolatePeer('e1');
  await clock.tickAsync(61_000);
  t.deepEqual(await namesOf(rig, [[2, poisonous]]), ['suspect_waiting']);
  t.is(fleet.crashes, 0);
  fleet.service('booking-1').crash();
  fleet.restart('booking-1');
  fleet.confirmGone('e1');
  t.deepEqual(await namesOf(rig, [[2, poisonous]]), ['poison_request']);
  t.is(fleet.crashes, 1);
});

test.serial('poison during a drain spares the rest of the fleet', async t => {
  const rig = newRig(t, 6, 5);
  const { fleet } = rig;
  fleet.slow(50);
  const sending = namesOf(rig, [
    [0, poisonous],
    [1, poisonous],
    [2, { operation: 'status', body: 'innocent' }],
    [3, { key: 'k' }],
  ]);
  fleet.pool.leaving.add('booking-1');
  fleet.pool.leaving.add('booking-2');
  const names = await sending;
  t.is(names[2], 'answered');
  t.true(fleet.crashes <= 2, `${fleet.crashes} crashes`);
  t.true(fleet.runsOf('k') <= 1);
});

test.serial('a cleared request runs beside others again', async t => {
  const rig = newRig(t, 7);
  const { fleet } = rig;
  const fingerprint = 'voyageurs/booking/status/x';
  const crash = { target: 'gone', incarnation: '1' };
  const { quarantine } = fleet.at(0);
  await quarantine.recordCrash({ ...crash, fingerprints: [fingerprint] });
  const sending: Sending = { operation: 'status', body: 'x' };
  t.deepEqual(await namesOf(rig, [[1, sending]]), ['answered']);
  await quarantine.recordCrash({ ...crash, fingerprints: [fingerprint] });
  await rig.clock.tickAsync(11_000);
  const signal = new AbortController().signal;
  const passage = await fleet
    .at(2)
    .quarantine.admitRun(fingerprint, signal, 'a');
  t.false(passage.unsafeCoerce().isIsolated);
});

test.serial('a suspect ends by its deadline while the table hangs', async t => {
  const { fleet, clock } = newRig(t, 8);
  await fleet.at(0).quarantine.recordCrash({
    target: 'gone',
    incarnation: '1',
    fingerprints: ['voyageurs/booking/status/x'],
  });
  fleet.at(1).table.pause();
  const sent = fleet.send(1, { operation: 'status', body: 'x' });
  await clock.tickAsync(10_100);
  const refused = await Promise.race([sent, Promise.resolve(undefined)]);
  t.is(refused?.swap().unsafeCoerce().code, 'suspect_waiting');
  fleet.at(1).table.resume();
  await clock.tickAsync(1_000);
  const again = fleet.send(2, { operation: 'status', body: 'x' });
  await clock.tickAsync(2_000);
  t.true((await again).isRight());
});
