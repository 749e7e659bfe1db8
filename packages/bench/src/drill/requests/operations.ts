/** Drills of operations on services, with single faults and pairs of faults. */
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

/** Creates a drill that runs on a new fleet under a fake clock. */
const createFleetDrill = (
  fault: string,
  promise: string,
  run: (fixture: FleetFixture) => Promise<DrillOutcome>,
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

/** Sends a request, advances the clock by 15 s and describes the result. */
const sendAndDescribe = async (
  { fleet, clock }: FleetFixture,
  index: number,
  call: OperationCall,
): Promise<string> => {
  const resultPromise = fleet.sendRequest(index, call);
  await clock.tickAsync(resultWaitMs);
  return describeResult((await resultPromise).extract());
};

const compareResults = (
  observed: readonly (string | number)[],
  expected: readonly (string | number)[],
): DrillOutcome => ({
  passed: observed.join() === expected.join(),
  seen: observed.join(', '),
});

const loseClaimAnswerWhilePaused = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = fixture;
  fleet.table.faults.loseAnswers = 1;
  fleet.getInstance(0).table.pauseAnswers();
  const pausedResult = fleet.sendRequest(0, { key: 'k', deadlineMs: 2_000 });
  await clock.tickAsync(3_000);
  const firstResult = describeResult((await pausedResult).extract());
  const executionsDuringPause = fleet.countExecutions('k');
  fleet.getInstance(0).table.resumeAnswers();
  await clock.tickAsync(5_000);
  const lastResult = await sendAndDescribe(fixture, 1, { key: 'k' });
  return compareResults(
    [
      firstResult,
      executionsDuringPause,
      lastResult,
      fleet.countExecutions('k'),
    ],
    ['claim_unavailable/no', 0, 'answered', 1],
  );
};

const replaceInstanceDuringOutage = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = fixture;
  fleet.delayResponses(100);
  const resultPromise = fleet.sendRequest(0, { key: 'k' });
  await clock.tickAsync(50);
  fleet.table.faults.down = true;
  await clock.tickAsync(700);
  const firstResult = describeResult((await resultPromise).extract());
  fleet.getInstance(0).table.isDisconnected = true;
  fleet.confirmInstanceGone('e1');
  fleet.startInstance('e9');
  fleet.table.faults.down = false;
  const repeatedResult = await sendAndDescribe(fixture, 4, { key: 'k' });
  return compareResults(
    [firstResult, repeatedResult, fleet.countExecutions('k')],
    ['answered', 'outcome_unknown/unknown', 1],
  );
};

const sendDuringTableOutage = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  fixture.fleet.table.faults.down = true;
  const bookingResult = await sendAndDescribe(fixture, 0, { key: 'k' });
  const lookupResult = await sendAndDescribe(fixture, 1, {
    operation: 'status',
  });
  return compareResults(
    [bookingResult, lookupResult, fixture.fleet.countExecutions('k')],
    ['claim_unavailable/no', 'answered', 0],
  );
};

const crashAfterExecution = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  for (const { faults } of fixture.fleet.servicePool.services)
    faults.crashAfter = 'fee';
  const call: OperationCall = { key: 'k', body: '{"fee":1}' };
  const firstResult = await sendAndDescribe(fixture, 0, call);
  const repeatedResult = await sendAndDescribe(fixture, 1, call);
  return compareResults(
    [firstResult, repeatedResult, fixture.fleet.countExecutions('k')],
    ['target_failed/unknown', 'outcome_unknown/unknown', 1],
  );
};

const resendPoisonRequest = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  fixture.fleet.setPoisonText('POISON');
  for (let i = 0; i < 8; i += 1) await sendAndDescribe(fixture, i, poisonCall);
  const lastResult = await sendAndDescribe(fixture, 3, poisonCall);
  return compareResults(
    [lastResult, fixture.fleet.crashCount],
    ['poison_request/no', 2],
  );
};

const sendPoisonConcurrently = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = fixture;
  fleet.setPoisonText('POISON');
  fleet.delayResponses(200);
  const innocentResults = [0, 1, 2, 3].map(i =>
    fleet.sendRequest(i, { operation: 'status', body: `{"n":${i}}` }),
  );
  const poisonResults = [0, 1, 2, 3].map(i => fleet.sendRequest(i, poisonCall));
  await clock.tickAsync(resultWaitMs);
  await Promise.all(poisonResults);
  const answers = (await Promise.all(innocentResults)).filter(result =>
    result.isRight(),
  );
  return compareResults([answers.length, fleet.crashCount], [4, 2]);
};

const drainDuringPoison = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = fixture;
  fleet.setPoisonText('POISON');
  fleet.delayResponses(50);
  const poisonResult = fleet.sendRequest(0, poisonCall);
  const innocentResult = fleet.sendRequest(1, { operation: 'status' });
  fleet.servicePool.leavingServices.add('booking-1');
  await clock.tickAsync(resultWaitMs);
  const descriptions = [await poisonResult, await innocentResult].map(result =>
    describeResult(result.extract()),
  );
  return compareResults(
    [...descriptions, fleet.crashCount],
    ['poison_request/unknown', 'answered', 2],
  );
};

const crashAndResetServices = async (
  fixture: FleetFixture,
): Promise<DrillOutcome> => {
  const { fleet, clock } = fixture;
  for (let i = 0; i < 30; i += 1) {
    await sendAndDescribe(fixture, 0, { operation: 'status', body: `${i}` });
  }
  fleet.delayResponses(200);
  const lookupResult = fleet.sendRequest(0, { operation: 'status', body: 'x' });
  const bookingResult = fleet.sendRequest(0, { key: 'k' });
  await clock.tickAsync(100);
  for (const service of fleet.servicePool.services.slice(0, 3))
    service.resetConnections();
  for (const service of fleet.servicePool.services.slice(3, 5)) service.crash();
  await clock.tickAsync(resultWaitMs);
  const answer = describeResult((await lookupResult).extract());
  await bookingResult;
  const executionCount = fleet.countExecutions('k');
  return {
    passed: answer === 'answered' && executionCount <= 1,
    seen: `${answer}, ${executionCount}`,
  };
};

const randomScheduleDrill: Drill = {
  fault: 'random faults of services, instances and the table',
  promise:
    'at most one execution per key, correct refusals, complete answers, faults stay within one service',
  run: async ({ seed, scheduleCount }: DrillOptions) => {
    const violations: string[] = [];
    let answerCount = 0;
    for (let i = 0; i < scheduleCount; i += 1) {
      const report = await withFakeClock(clock =>
        runOperationSchedule(seed + i, clock),
      );
      violations.push(
        ...report.violations.map(text => `seed ${seed + i}: ${text}`),
      );
      answerCount += report.answerCount;
    }
    const summary = `${scheduleCount} schedules, ${answerCount} answers, ${violations.length} violations`;
    return {
      passed: violations.length === 0,
      seen: [summary, ...violations.slice(0, 3)].join('; '),
    };
  },
};

export const operationDrills: readonly Drill[] = [
  createFleetDrill(
    'the response to a claim is lost and the claimant is paused',
    'nothing runs after the deadline, the key runs once',
    loseClaimAnswerWhilePaused,
  ),
  createFleetDrill(
    'the table is down and the instance is replaced',
    'a key never runs twice',
    replaceInstanceDuringOutage,
  ),
  createFleetDrill(
    'the table is down',
    'requests are refused as not run, idempotent operations continue',
    sendDuringTableOutage,
  ),
  createFleetDrill(
    'the target crashes after executing the request',
    'a repeated request gets an unknown outcome',
    crashAfterExecution,
  ),
  createFleetDrill(
    'a poison request is sent again through every instance',
    'exactly two targets crash',
    resendPoisonRequest,
  ),
  createFleetDrill(
    'a poison request is sent through four instances at once',
    'exactly two targets crash, other requests are answered',
    sendPoisonConcurrently,
  ),
  createFleetDrill(
    'a poison request is sent while a target drains',
    'exactly two targets crash, other requests are answered',
    drainDuringPoison,
  ),
  createFleetDrill(
    'targets crash and connections are reset',
    'idempotent lookups are answered, a booking runs at most once',
    crashAndResetServices,
  ),
  randomScheduleDrill,
];
