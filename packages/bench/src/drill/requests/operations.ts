/** Faults of operations on plain services, alone and two at a time. */
import { Failure } from '@medlarlever/core';
import type { OperationResponse } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';

import { OperationFleet } from '../../operations/operation-fleet.js';
import type { OperationCall } from '../../operations/operation-fleet.js';
import { runOperationSchedule } from '../../operations/random-schedule.js';
import type { Drill, DrillOptions, DrillOutcome } from '../drill.js';

interface FleetFixture {
  readonly fleet: OperationFleet;
  readonly clock: FakeTimers.Clock;
}

const startTimeMs = Date.UTC(2026, 0, 1);
const resultWaitMs = 15_000;
const poisonCall: OperationCall = { operation: 'status', body: 'POISON' };

const withFakeClock = async <T>(
  run: (clock: FakeTimers.Clock) => Promise<T>,
): Promise<T> => {
  const clock = FakeTimers.install({ now: startTimeMs });
  try {
    return await run(clock);
  } finally {
    clock.uninstall();
  }
};

/** A drill on a fresh fleet under a paused clock. */
const createFleetDrill = (
  fault: string,
  promise: string,
  run: (rig: FleetFixture) => Promise<DrillOutcome>,
): Drill => ({
  fault,
  promise,
  run: ({ seed }) =>
    withFakeClock(clock => {
      const fleet = new OperationFleet({
        seed,
        instanceCount: 4,
        targetsPerService: 6,
      });
      return run({ fleet, clock });
    }),
});

const describeResult = (result: OperationResponse | Failure): string => {
  if (result instanceof Failure) return `${result.code}/${result.executed}`;
  return result.isReplayed ? 'repeated' : 'answered';
};

/** Sends and lets the clock run until the outcome is there. */
const sendAndDescribe = async (
  { fleet, clock }: FleetFixture,
  index: number,
  sending: OperationCall,
): Promise<string> => {
  const sent = fleet.sendRequest(index, sending);
  await clock.tickAsync(resultWaitMs);
  return describeResult((await sent).extract());
};

const compareResults = (
  seen: readonly (string | number)[],
  expected: readonly (string | number)[],
): DrillOutcome => ({
  passed: seen.join() === expected.join(),
  seen: seen.join(', '),
});

const loseClaimAnswerWhilePaused = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.table.faults.loseAnswers = 1;
  fleet.getInstance(0).table.pauseAnswers();
  const paused = fleet.sendRequest(0, { key: 'k', deadlineMs: 2_000 });
  await clock.tickAsync(3_000);
  const first = describeResult((await paused).extract());
  const runsMeanwhile = fleet.countExecutions('k');
  fleet.getInstance(0).table.resumeAnswers();
  await clock.tickAsync(5_000);
  const last = await sendAndDescribe(rig, 1, { key: 'k' });
  return compareResults(
    [first, runsMeanwhile, last, fleet.countExecutions('k')],
    ['claim_unavailable/no', 0, 'answered', 1],
  );
};

const replaceInstanceDuringOutage = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.delayResponses(100);
  const sent = fleet.sendRequest(0, { key: 'k' });
  await clock.tickAsync(50);
  fleet.table.faults.down = true;
  await clock.tickAsync(700);
  const first = describeResult((await sent).extract());
  fleet.getInstance(0).table.isDisconnected = true;
  fleet.confirmInstanceGone('e1');
  fleet.startInstance('e9');
  fleet.table.faults.down = false;
  const repeat = await sendAndDescribe(rig, 4, { key: 'k' });
  return compareResults(
    [first, repeat, fleet.countExecutions('k')],
    ['answered', 'outcome_unknown/unknown', 1],
  );
};

const sendDuringTableOutage = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  rig.fleet.table.faults.down = true;
  const booking = await sendAndDescribe(rig, 0, { key: 'k' });
  const lookup = await sendAndDescribe(rig, 1, { operation: 'status' });
  return compareResults(
    [booking, lookup, rig.fleet.countExecutions('k')],
    ['claim_unavailable/no', 'answered', 0],
  );
};

const crashAfterExecution = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  for (const { faults } of rig.fleet.servicePool.services)
    faults.crashAfter = 'fee';
  const sending: OperationCall = { key: 'k', body: '{"fee":1}' };
  const first = await sendAndDescribe(rig, 0, sending);
  const repeat = await sendAndDescribe(rig, 1, sending);
  return compareResults(
    [first, repeat, rig.fleet.countExecutions('k')],
    ['target_failed/unknown', 'outcome_unknown/unknown', 1],
  );
};

const resendPoisonRequest = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  rig.fleet.setPoisonText('POISON');
  for (let i = 0; i < 8; i += 1) await sendAndDescribe(rig, i, poisonCall);
  const last = await sendAndDescribe(rig, 3, poisonCall);
  return compareResults([last, rig.fleet.crashCount], ['poison_request/no', 2]);
};

const sendPoisonConcurrently = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.setPoisonText('POISON');
  fleet.delayResponses(200);
  const innocent = [0, 1, 2, 3].map(i =>
    fleet.sendRequest(i, { operation: 'status', body: `{"n":${i}}` }),
  );
  const bad = [0, 1, 2, 3].map(i => fleet.sendRequest(i, poisonCall));
  await clock.tickAsync(resultWaitMs);
  await Promise.all(bad);
  const answers = (await Promise.all(innocent)).filter(one => one.isRight());
  return compareResults([answers.length, fleet.crashCount], [4, 2]);
};

const drainDuringPoison = async (rig: FleetFixture): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  fleet.setPoisonText('POISON');
  fleet.delayResponses(50);
  const bad = fleet.sendRequest(0, poisonCall);
  const innocent = fleet.sendRequest(1, { operation: 'status' });
  fleet.servicePool.leavingServices.add('booking-1');
  await clock.tickAsync(resultWaitMs);
  const names = [await bad, await innocent].map(one =>
    describeResult(one.extract()),
  );
  return compareResults(
    [...names, fleet.crashCount],
    ['poison_request/unknown', 'answered', 2],
  );
};

const crashAndResetServices = async (
  rig: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = rig;
  for (let i = 0; i < 30; i += 1) {
    await sendAndDescribe(rig, 0, { operation: 'status', body: `${i}` });
  }
  fleet.delayResponses(200);
  const lookup = fleet.sendRequest(0, { operation: 'status', body: 'x' });
  const booking = fleet.sendRequest(0, { key: 'k' });
  await clock.tickAsync(100);
  for (const service of fleet.servicePool.services.slice(0, 3))
    service.resetConnections();
  for (const service of fleet.servicePool.services.slice(3, 5)) service.crash();
  await clock.tickAsync(resultWaitMs);
  const answer = describeResult((await lookup).extract());
  await booking;
  const runs = fleet.countExecutions('k');
  return {
    passed: answer === 'answered' && runs <= 1,
    seen: `${answer}, ${runs}`,
  };
};

const randomScheduleDrill: Drill = {
  fault: 'random faults of services, instances and the table',
  promise: 'at most once, true refusals, whole answers, no spread',
  run: async ({ seed, scheduleCount: runs }: DrillOptions) => {
    const broken: string[] = [];
    let answered = 0;
    for (let i = 0; i < runs; i += 1) {
      const report = await withFakeClock(clock =>
        runOperationSchedule(seed + i, clock),
      );
      broken.push(
        ...report.violations.map(text => `seed ${seed + i}: ${text}`),
      );
      answered += report.answerCount;
    }
    const seen = `${runs} schedules, ${answered} answers, ${broken.length} broken`;
    return {
      passed: broken.length === 0,
      seen: [seen, ...broken.slice(0, 3)].join('; '),
    };
  },
};

export const operationDrills: readonly Drill[] = [
  createFleetDrill(
    'lost claim answer, paused claimant',
    'nothing runs late, the key runs once',
    loseClaimAnswerWhilePaused,
  ),
  createFleetDrill(
    'store outage, instance replaced',
    'a key never runs twice',
    replaceInstanceDuringOutage,
  ),
  createFleetDrill(
    'store outage',
    'true refusal; idempotent operations go on',
    sendDuringTableOutage,
  ),
  createFleetDrill(
    'target crashes after the run',
    'a repeat learns that the outcome is unknown',
    crashAfterExecution,
  ),
  createFleetDrill(
    'poison resent through every instance',
    'two targets crash',
    resendPoisonRequest,
  ),
  createFleetDrill(
    'poison at four instances at once',
    'two targets crash, innocent requests are answered',
    sendPoisonConcurrently,
  ),
  createFleetDrill(
    'poison, drain of a target',
    'two targets crash, others are answered',
    drainDuringPoison,
  ),
  createFleetDrill(
    'crashed targets, broken connections',
    'lookups are answered, a booking runs at most once',
    crashAndResetServices,
  ),
  randomScheduleDrill,
];
