/** Random fault schedules of services, instances and the table, derived from a seed, and the guarantees that must hold. */
import { Failure } from '@medlarlever/core';
import type { OperationResponse, OperationRequest } from '@medlarlever/core';
import { createServiceAnswerBody } from '@medlarlever/stand-ins';
import type FakeTimers from '@sinonjs/fake-timers';

import { OperationFleet } from './operation-fleet.js';
import { createSeededRandom } from '../shared/seeded-random.js';
import type { OperationCall } from './operation-fleet.js';

/** A sent request with the result that its caller gets. */
interface SentOperation {
  readonly request: OperationRequest;
  readonly key: string | undefined;
  readonly outcome: Promise<OperationResponse | Failure>;
}

/** Counts of a schedule; `violations` is empty when every guarantee held. */
export interface OperationScheduleResult {
  readonly violations: readonly string[];
  readonly answerCount: number;
  readonly failureCount: number;
  readonly crashCount: number;
}

const stepCount = 60;
/** Milliseconds between two steps. */
const stepMs = 150;
/** Time after the last step in which all requests end, without new faults. */
const settlingTimeMs = 30_000;
/** Number of different idempotency keys. */
const keyCount = 12;
/** Service that gets no injected faults; all its requests must be answered. */
const healthyService = 'status-board';
const poisonBody = 'POISON';
const callerDeadlineMs = 8_000;

/** Runs one schedule under the fake clock of the caller and checks the guarantees. */
export const runOperationSchedule = async (
  seed: number,
  clock: FakeTimers.Clock,
): Promise<OperationScheduleResult> => {
  const services = ['booking', healthyService];
  const fleet = new OperationFleet({
    seed,
    instanceCount: 3,
    targetsPerService: 4,
    services,
  });
  const random = createSeededRandom(seed + 7_919);
  const sentOperations: SentOperation[] = [];
  fleet.setPoisonText(poisonBody);
  for (let step = 0; step < stepCount; step += 1) {
    injectRandomFault(fleet, random);
    for (const call of createCalls(random)) {
      sentOperations.push(sendCall(fleet, random, call));
    }
    await clock.tickAsync(stepMs);
  }
  removeFaults(fleet);
  await clock.tickAsync(settlingTimeMs);
  return createResult(fleet, sentOperations);
};

const sendCall = (
  fleet: OperationFleet,
  random: () => number,
  call: OperationCall,
): SentOperation => {
  const request = fleet.createRequest({
    ...call,
    deadlineMs: callerDeadlineMs,
  });
  const availableInstances = fleet.instances.filter(
    ({ name }) => !fleet.goneIncarnations.has(`${name}#1`),
  );
  const instance =
    availableInstances[Math.floor(random() * availableInstances.length)] ??
    fleet.getInstance(0);
  const { signal } = new AbortController();
  const resultPromise = instance.dispatcher.dispatch(request, signal);
  const outcome = resultPromise.then(result => result.extract());
  return { request, key: call.key, outcome };
};

const createCalls = (random: () => number): readonly OperationCall[] => {
  const keyNumber = Math.floor(random() * keyCount);
  const bookingCall: OperationCall = {
    key: `key-${keyNumber}`,
    body: `{"trip":${keyNumber}}`,
  };
  const lookupCall: OperationCall = {
    operation: 'status',
    body: `{"n":${random()}}`,
  };
  const healthyLookupCall: OperationCall = {
    ...lookupCall,
    service: healthyService,
  };
  const poisonCall: OperationCall = { operation: 'status', body: poisonBody };
  return random() < 0.1
    ? [bookingCall, lookupCall, healthyLookupCall, poisonCall]
    : [bookingCall, lookupCall, healthyLookupCall];
};

type FaultInjector = (fleet: OperationFleet, random: () => number) => void;

const pickBookingService = (fleet: OperationFleet, random: () => number) => {
  const targetNumber = 1 + Math.floor(random() * 4);
  return fleet.getService(`booking-${targetNumber}`);
};

const faultInjectors: readonly FaultInjector[] = [
  ({ table }) => {
    table.faults.loseAnswers += 2;
  },
  ({ table }) => {
    table.faults.delayEffects += 1;
  },
  ({ table }) => {
    table.faults.down = !table.faults.down;
  },
  (fleet, random) => {
    pickBookingService(fleet, random).faults.loseAnswers += 1;
  },
  (fleet, random) => {
    const { faults } = pickBookingService(fleet, random);
    faults.refuse = !faults.refuse;
  },
  (fleet, random) => {
    pickBookingService(fleet, random).faults.slowMs = 300;
  },
  (fleet, random) => {
    const service = pickBookingService(fleet, random);
    if (service.simulator.hasCrashed) fleet.restartService(service.name);
    else service.faults.hang = !service.faults.hang;
  },
  (fleet, random) => {
    const { table } = fleet.getInstance(Math.floor(random() * 3));
    table.pauseAnswers();
    setTimeout(() => {
      table.resumeAnswers();
    }, 2_000);
  },
  fleet => {
    if (fleet.goneIncarnations.size > 0) return;
    fleet.getInstance(0).table.isDisconnected = true;
    fleet.network.isolatePeer('e1');
    fleet.confirmInstanceGone('e1');
    fleet.startInstance('e4');
  },
];

const injectRandomFault = (fleet: OperationFleet, random: () => number) => {
  if (random() < 0.6) return;
  faultInjectors[Math.floor(random() * faultInjectors.length)]?.(fleet, random);
};

const removeFaults = (fleet: OperationFleet) => {
  Object.assign(fleet.table.faults, {
    down: false,
    loseAnswers: 0,
    delayEffects: 0,
  });
  for (const { faults } of fleet.servicePool.services) {
    Object.assign(faults, { hang: false, refuse: false, loseAnswers: 0 });
  }
};

const createResult = async (
  fleet: OperationFleet,
  sentOperations: readonly SentOperation[],
): Promise<OperationScheduleResult> => {
  const violations: string[] = [];
  let answerCount = 0;
  for (let n = 0; n < keyCount; n += 1) {
    const executionCount = fleet.countExecutions(`key-${n}`);
    if (executionCount > 1)
      violations.push(`key-${n} ran ${executionCount} times`);
  }
  for (const { request, outcome } of sentOperations) {
    const result = await outcome;
    if (!(result instanceof Failure)) answerCount += 1;
    violations.push(...findViolations(fleet, request, result));
  }
  if (fleet.crashCount > 2)
    violations.push(`${fleet.crashCount} targets crashed`);
  const failureCount = sentOperations.length - answerCount;
  return {
    violations,
    answerCount,
    failureCount,
    crashCount: fleet.crashCount,
  };
};

const findViolations = (
  fleet: OperationFleet,
  request: OperationRequest,
  result: OperationResponse | Failure,
): string[] => {
  const { operation, body, id } = request;
  if (!(result instanceof Failure)) {
    const expectedBody = createServiceAnswerBody(operation.operation, body, 1);
    return result.body === expectedBody
      ? []
      : [`${id} got a wrong response body`];
  }
  if (operation.service === healthyService) {
    return [`${id} to the healthy service failed with ${result.code}`];
  }
  if (result.executed === 'no' && fleet.countRequestExecutions(id) > 0) {
    return [`${id} was refused as not run but ran (${result.code})`];
  }
  return [];
};
