/** Random faults of services, instances and the table, from a seed. */
import { Failure } from '@medlarlever/core';
import type { OperationResponse, OperationRequest } from '@medlarlever/core';
import { createServiceAnswerBody } from '@medlarlever/stand-ins';
import type FakeTimers from '@sinonjs/fake-timers';

import { OperationFleet } from './operation-fleet.js';
import { createSeededRandom } from '../shared/seeded-random.js';
import type { OperationCall } from './operation-fleet.js';

/** One sent request with what its caller got. */
interface SentOperation {
  readonly request: OperationRequest;
  readonly key: string | undefined;
  readonly outcome: Promise<OperationResponse | Failure>;
}

/** What a schedule broke, and how much it did. */
export interface OperationScheduleResult {
  readonly violations: readonly string[];
  readonly answerCount: number;
  readonly failureCount: number;
  readonly crashCount: number;
}

const stepCount = 60;
const stepMs = 150;
const settlingMs = 30_000;
const keyCount = 12;
const healthyService = 'status-board';
const poisonBody = 'POISON';
const callerDeadlineMs = 8_000;

/** Runs one schedule under a clock that the caller has paused. */
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
  const sent: SentOperation[] = [];
  fleet.setPoisonText(poisonBody);
  for (let step = 0; step < stepCount; step += 1) {
    injectRandomFault(fleet, random);
    for (const sending of createCalls(random)) {
      sent.push(sendCall(fleet, random, sending));
    }
    await clock.tickAsync(stepMs);
  }
  removeFaults(fleet);
  await clock.tickAsync(settlingMs);
  return createResult(fleet, sent);
};

const sendCall = (
  fleet: OperationFleet,
  random: () => number,
  sending: OperationCall,
): SentOperation => {
  const request = fleet.createRequest({
    ...sending,
    deadlineMs: callerDeadlineMs,
  });
  const alive = fleet.instances.filter(
    ({ name }) => !fleet.goneIncarnations.has(`${name}#1`),
  );
  const instance =
    alive[Math.floor(random() * alive.length)] ?? fleet.getInstance(0);
  const { signal } = new AbortController();
  const dispatched = instance.dispatcher.dispatch(request, signal);
  const outcome = dispatched.then(one => one.extract());
  return { request, key: sending.key, outcome };
};

const createCalls = (random: () => number): readonly OperationCall[] => {
  const n = Math.floor(random() * keyCount);
  const booking: OperationCall = { key: `key-${n}`, body: `{"trip":${n}}` };
  const lookup: OperationCall = {
    operation: 'status',
    body: `{"n":${random()}}`,
  };
  const board: OperationCall = { ...lookup, service: healthyService };
  const poison: OperationCall = { operation: 'status', body: poisonBody };
  return random() < 0.1
    ? [booking, lookup, board, poison]
    : [booking, lookup, board];
};

type FaultInjector = (fleet: OperationFleet, random: () => number) => void;

const pickBookingService = (fleet: OperationFleet, random: () => number) => {
  const n = 1 + Math.floor(random() * 4);
  return fleet.getService(`booking-${n}`);
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
    const { faults: own } = pickBookingService(fleet, random);
    own.refuse = !own.refuse;
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
  for (const { faults: own } of fleet.servicePool.services) {
    Object.assign(own, { hang: false, refuse: false, loseAnswers: 0 });
  }
};

const createResult = async (
  fleet: OperationFleet,
  sent: readonly SentOperation[],
): Promise<OperationScheduleResult> => {
  const broken: string[] = [];
  let answered = 0;
  for (let n = 0; n < keyCount; n += 1) {
    const runs = fleet.countExecutions(`key-${n}`);
    if (runs > 1) broken.push(`key-${n} ran ${runs} times`);
  }
  for (const { request, outcome } of sent) {
    const result = await outcome;
    if (!(result instanceof Failure)) answered += 1;
    broken.push(...findViolations(fleet, request, result));
  }
  if (fleet.crashCount > 2) broken.push(`${fleet.crashCount} targets crashed`);
  const refused = sent.length - answered;
  return {
    violations: broken,
    answerCount: answered,
    failureCount: refused,
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
    const whole = createServiceAnswerBody(operation.operation, body, 1);
    return result.body === whole ? [] : [`${id} got another answer`];
  }
  if (operation.service === healthyService) {
    return [`${id} of the healthy service got ${result.code}`];
  }
  if (result.executed === 'no' && fleet.countRequestExecutions(id) > 0) {
    return [`${id} ran but was refused as not run (${result.code})`];
  }
  return [];
};
