/** Random faults of services, instances and the table, from a seed. */
import { Failure } from '@medlarlever/core';
import type { OperationResponse, OperationRequest } from '@medlarlever/core';
import { createServiceAnswerBody } from '@medlarlever/stand-ins';
import type FakeTimers from '@sinonjs/fake-timers';

import { OperationFleet } from './operation-fleet.js';
import { seededRandom } from '../shared/seeded-random.js';
import type { Sending } from './operation-fleet.js';

/** One sent request with what its caller got. */
interface Sent {
  readonly request: OperationRequest;
  readonly key: string | undefined;
  readonly outcome: Promise<OperationResponse | Failure>;
}

/** What a schedule broke, and how much it did. */
export interface ScheduleReport {
  readonly broken: readonly string[];
  readonly answered: number;
  readonly refused: number;
  readonly crashes: number;
}

const steps = 60;
const stepMs = 150;
const settleMs = 30_000;
const keys = 12;
const healthy = 'status-board';
const poisonBody = 'POISON';
const callerDeadlineMs = 8_000;

/** Runs one schedule under a clock that the caller has paused. */
export const runSchedule = async (
  seed: number,
  clock: FakeTimers.Clock,
): Promise<ScheduleReport> => {
  const services = ['booking', healthy];
  const fleet = new OperationFleet({
    seed,
    instances: 3,
    runners: 4,
    services,
  });
  const random = seededRandom(seed + 7_919);
  const sent: Sent[] = [];
  fleet.poison(poisonBody);
  for (let step = 0; step < steps; step += 1) {
    injectFault(fleet, random);
    for (const sending of sendingsOf(random)) {
      sent.push(send(fleet, random, sending));
    }
    await clock.tickAsync(stepMs);
  }
  heal(fleet);
  await clock.tickAsync(settleMs);
  return report(fleet, sent);
};

const send = (
  fleet: OperationFleet,
  random: () => number,
  sending: Sending,
): Sent => {
  const request = fleet.request({ ...sending, deadlineMs: callerDeadlineMs });
  const alive = fleet.instances.filter(
    ({ name }) => !fleet.gone.has(`${name}#1`),
  );
  const instance = alive[Math.floor(random() * alive.length)] ?? fleet.at(0);
  const { signal } = new AbortController();
  const dispatched = instance.dispatcher.dispatch(request, signal);
  const outcome = dispatched.then(one => one.extract());
  return { request, key: sending.key, outcome };
};

const sendingsOf = (random: () => number): readonly Sending[] => {
  const n = Math.floor(random() * keys);
  const booking: Sending = { key: `key-${n}`, body: `{"trip":${n}}` };
  const lookup: Sending = { operation: 'status', body: `{"n":${random()}}` };
  const board: Sending = { ...lookup, service: healthy };
  const poison: Sending = { operation: 'status', body: poisonBody };
  return random() < 0.1
    ? [booking, lookup, board, poison]
    : [booking, lookup, board];
};

type Fault = (fleet: OperationFleet, random: () => number) => void;

const anyBooking = (fleet: OperationFleet, random: () => number) => {
  const n = 1 + Math.floor(random() * 4);
  return fleet.service(`booking-${n}`);
};

const faults: readonly Fault[] = [
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
    anyBooking(fleet, random).faults.loseAnswers += 1;
  },
  (fleet, random) => {
    const { faults: own } = anyBooking(fleet, random);
    own.refuse = !own.refuse;
  },
  (fleet, random) => {
    anyBooking(fleet, random).faults.slowMs = 300;
  },
  (fleet, random) => {
    const service = anyBooking(fleet, random);
    if (service.simulator.hasCrashed) fleet.restart(service.name);
    else service.faults.hang = !service.faults.hang;
  },
  (fleet, random) => {
    const { table } = fleet.at(Math.floor(random() * 3));
    table.pause();
    setTimeout(() => {
      table.resume();
    }, 2_000);
  },
  fleet => {
    if (fleet.gone.size > 0) return;
    fleet.at(0).table.cutOff = true;
    fleet.network.isolatePeer('e1');
    fleet.confirmGone('e1');
    fleet.start('e4');
  },
];

const injectFault = (fleet: OperationFleet, random: () => number) => {
  if (random() < 0.6) return;
  faults[Math.floor(random() * faults.length)]?.(fleet, random);
};

const heal = (fleet: OperationFleet) => {
  Object.assign(fleet.table.faults, {
    down: false,
    loseAnswers: 0,
    delayEffects: 0,
  });
  for (const { faults: own } of fleet.pool.services) {
    Object.assign(own, { hang: false, refuse: false, loseAnswers: 0 });
  }
};

const report = async (
  fleet: OperationFleet,
  sent: readonly Sent[],
): Promise<ScheduleReport> => {
  const broken: string[] = [];
  let answered = 0;
  for (let n = 0; n < keys; n += 1) {
    const runs = fleet.runsOf(`key-${n}`);
    if (runs > 1) broken.push(`key-${n} ran ${runs} times`);
  }
  for (const { request, outcome } of sent) {
    const result = await outcome;
    if (!(result instanceof Failure)) answered += 1;
    broken.push(...brokenPromises(fleet, request, result));
  }
  if (fleet.crashes > 2) broken.push(`${fleet.crashes} targets crashed`);
  const refused = sent.length - answered;
  return { broken, answered, refused, crashes: fleet.crashes };
};

const brokenPromises = (
  fleet: OperationFleet,
  request: OperationRequest,
  result: OperationResponse | Failure,
): string[] => {
  const { operation, body, id } = request;
  if (!(result instanceof Failure)) {
    const whole = createServiceAnswerBody(operation.operation, body, 1);
    return result.body === whole ? [] : [`${id} got another answer`];
  }
  if (operation.service === healthy) {
    return [`${id} of the healthy service got ${result.code}`];
  }
  if (result.executed === 'no' && fleet.runsOfRequest(id) > 0) {
    return [`${id} ran but was refused as not run (${result.code})`];
  }
  return [];
};
