/** Faults of operations on plain services, alone and two at a time. */
import { Failure } from '@medlarlever/core';
import type { OperationResponse } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';

import { OperationFleet } from '../../operations/operation-fleet.js';
import type { Sending } from '../../operations/operation-fleet.js';
import { runSchedule } from '../../operations/random-schedule.js';
import type { Drill, DrillOptions, DrillOutcome } from '../drill.js';

interface Rig {
  readonly fleet: OperationFleet;
  readonly clock: FakeTimers.Clock;
}

const startMs = Date.UTC(2026, 0, 1);
const waitMs = 15_000;
const poisonous: Sending = { operation: 'status', body: 'POISON' };

const withClock = async <T>(
  run: (clock: FakeTimers.Clock) => Promise<T>,
): Promise<T> => {
  const clock = FakeTimers.install({ now: startMs });
  try {
    return await run(clock);
  } finally {
    clock.uninstall();
  }
};

/** A drill on a fresh fleet under a paused clock. */
const fleetDrill = (
  fault: string,
  promise: string,
  run: (rig: Rig) => Promise<DrillOutcome>,
): Drill => ({
  fault,
  promise,
  run: ({ seed }) =>
    withClock(clock => {
      const fleet = new OperationFleet({ seed, instances: 4, runners: 6 });
      return run({ fleet, clock });
    }),
});

const nameOf = (result: OperationResponse | Failure): string => {
  if (result instanceof Failure) return `${result.code}/${result.executed}`;
  return result.isReplayed ? 'repeated' : 'answered';
};

/** Sends and lets the clock run until the outcome is there. */
const outcomeOf = async (
  { fleet, clock }: Rig,
  index: number,
  sending: Sending,
): Promise<string> => {
  const sent = fleet.send(index, sending);
  await clock.tickAsync(waitMs);
  return nameOf((await sent).extract());
};

const expectAll = (
  seen: readonly (string | number)[],
  expected: readonly (string | number)[],
): DrillOutcome => ({
  passed: seen.join() === expected.join(),
  seen: seen.join(', '),
});

const lostClaimOfPaused = async (rig: Rig): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.table.faults.loseAnswers = 1;
  fleet.at(0).table.pause();
  const paused = fleet.send(0, { key: 'k', deadlineMs: 2_000 });
  await clock.tickAsync(3_000);
  const first = nameOf((await paused).extract());
  const runsMeanwhile = fleet.runsOf('k');
  fleet.at(0).table.resume();
  await clock.tickAsync(5_000);
  const last = await outcomeOf(rig, 1, { key: 'k' });
  return expectAll(
    [first, runsMeanwhile, last, fleet.runsOf('k')],
    ['claim_unavailable/no', 0, 'answered', 1],
  );
};

const outageAndReplacement = async (rig: Rig): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.slow(100);
  const sent = fleet.send(0, { key: 'k' });
  await clock.tickAsync(50);
  fleet.table.faults.down = true;
  await clock.tickAsync(700);
  const first = nameOf((await sent).extract());
  fleet.at(0).table.cutOff = true;
  fleet.confirmGone('e1');
  fleet.start('e9');
  fleet.table.faults.down = false;
  const repeat = await outcomeOf(rig, 4, { key: 'k' });
  return expectAll(
    [first, repeat, fleet.runsOf('k')],
    ['answered', 'outcome_unknown/unknown', 1],
  );
};

const storeOutage = async (rig: Rig): Promise<DrillOutcome> => {
  rig.fleet.table.faults.down = true;
  const booking = await outcomeOf(rig, 0, { key: 'k' });
  const lookup = await outcomeOf(rig, 1, { operation: 'status' });
  return expectAll(
    [booking, lookup, rig.fleet.runsOf('k')],
    ['claim_unavailable/no', 'answered', 0],
  );
};

const crashAfterRun = async (rig: Rig): Promise<DrillOutcome> => {
  for (const { faults } of rig.fleet.pool.services) faults.crashAfter = 'fee';
  const sending: Sending = { key: 'k', body: '{"fee":1}' };
  const first = await outcomeOf(rig, 0, sending);
  const repeat = await outcomeOf(rig, 1, sending);
  return expectAll(
    [first, repeat, rig.fleet.runsOf('k')],
    ['target_failed/unknown', 'outcome_unknown/unknown', 1],
  );
};

const poisonResent = async (rig: Rig): Promise<DrillOutcome> => {
  rig.fleet.poison('POISON');
  for (let i = 0; i < 8; i += 1) await outcomeOf(rig, i, poisonous);
  const last = await outcomeOf(rig, 3, poisonous);
  return expectAll([last, rig.fleet.crashes], ['poison_request/no', 2]);
};

const poisonTogether = async (rig: Rig): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.poison('POISON');
  fleet.slow(200);
  const innocent = [0, 1, 2, 3].map(i =>
    fleet.send(i, { operation: 'status', body: `{"n":${i}}` }),
  );
  const bad = [0, 1, 2, 3].map(i => fleet.send(i, poisonous));
  await clock.tickAsync(waitMs);
  await Promise.all(bad);
  const answers = (await Promise.all(innocent)).filter(one => one.isRight());
  return expectAll([answers.length, fleet.crashes], [4, 2]);
};

const poisonAndDrain = async (rig: Rig): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.poison('POISON');
  fleet.slow(50);
  const bad = fleet.send(0, poisonous);
  const innocent = fleet.send(1, { operation: 'status' });
  fleet.pool.leaving.add('booking-1');
  await clock.tickAsync(waitMs);
  const names = [await bad, await innocent].map(one => nameOf(one.extract()));
  return expectAll(
    [...names, fleet.crashes],
    ['poison_request/unknown', 'answered', 2],
  );
};

const crashAndSilence = async (rig: Rig): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  for (let i = 0; i < 30; i += 1) {
    await outcomeOf(rig, 0, { operation: 'status', body: `${i}` });
  }
  fleet.slow(200);
  const lookup = fleet.send(0, { operation: 'status', body: 'x' });
  const booking = fleet.send(0, { key: 'k' });
  await clock.tickAsync(100);
  for (const service of fleet.pool.services.slice(0, 3))
    service.resetConnections();
  for (const service of fleet.pool.services.slice(3, 5)) service.crash();
  await clock.tickAsync(waitMs);
  const answer = nameOf((await lookup).extract());
  await booking;
  const runs = fleet.runsOf('k');
  return {
    passed: answer === 'answered' && runs <= 1,
    seen: `${answer}, ${runs}`,
  };
};

const randomSchedules: Drill = {
  fault: 'random faults of services, instances and the table',
  promise: 'at most once, true refusals, whole answers, no spread',
  run: async ({ seed, runs }: DrillOptions) => {
    const broken: string[] = [];
    let answered = 0;
    for (let i = 0; i < runs; i += 1) {
      const report = await withClock(clock => runSchedule(seed + i, clock));
      broken.push(...report.broken.map(text => `seed ${seed + i}: ${text}`));
      answered += report.answered;
    }
    const seen = `${runs} schedules, ${answered} answers, ${broken.length} broken`;
    return {
      passed: broken.length === 0,
      seen: [seen, ...broken.slice(0, 3)].join('; '),
    };
  },
};

export const operationDrills: readonly Drill[] = [
  fleetDrill(
    'lost claim answer, paused claimant',
    'nothing runs late, the key runs once',
    lostClaimOfPaused,
  ),
  fleetDrill(
    'store outage, instance replaced',
    'a key never runs twice',
    outageAndReplacement,
  ),
  fleetDrill(
    'store outage',
    'true refusal; idempotent operations go on',
    storeOutage,
  ),
  fleetDrill(
    'target crashes after the run',
    'a repeat learns that the outcome is unknown',
    crashAfterRun,
  ),
  fleetDrill(
    'poison resent through every instance',
    'two targets crash',
    poisonResent,
  ),
  fleetDrill(
    'poison at four instances at once',
    'two targets crash, innocent requests are answered',
    poisonTogether,
  ),
  fleetDrill(
    'poison, drain of a target',
    'two targets crash, others are answered',
    poisonAndDrain,
  ),
  fleetDrill(
    'crashed targets, broken connections',
    'lookups are answered, a booking runs at most once',
    crashAndSilence,
  ),
  randomSchedules,
];
