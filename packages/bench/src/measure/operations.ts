/** Load multiplication by retries, and goodput beside a faulty service. */
import FakeTimers from '@sinonjs/fake-timers';
import type { FakeService } from '@medlarlever/stand-ins';

import { OperationFleet } from '../operations/operation-fleet.js';
import type { Measurement, MeasureSuite } from './measurement.js';

type ServiceFault = 'down' | 'hung' | 'slow' | 'refusing';

const faultKinds: readonly ServiceFault[] = [
  'down',
  'hung',
  'slow',
  'refusing',
];
const requests = 1_000;
const gapMs = 10;
const settleMs = 30_000;
const slowMs = 4_000;
const maxMultiplication = 1.1;
const minGoodputShare = 0.99;

const breakService = (service: FakeService, fault: ServiceFault) => {
  if (fault === 'down') service.crash();
  if (fault === 'hung') service.faults.hang = true;
  if (fault === 'slow') service.faults.slowMs = slowMs;
  if (fault === 'refusing') service.faults.refuse = true;
};

const withClock = async <T>(
  run: (clock: FakeTimers.Clock) => Promise<T>,
): Promise<T> => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  try {
    return await run(clock);
  } finally {
    clock.uninstall();
  }
};

/** Sends lookups to each service in turn; answers counted by service. */
const sendAll = async (
  fleet: OperationFleet,
  clock: FakeTimers.Clock,
  services: readonly string[],
): Promise<Map<string, number>> => {
  const answers = new Map<string, number>();
  const sent: Promise<void>[] = [];
  for (let i = 0; i < requests; i += 1) {
    for (const service of services) {
      const sending = { service, operation: 'status', body: `${i}` } as const;
      const counted = fleet.send(i, sending).then(one => {
        if (one.isLeft()) return;
        answers.set(service, (answers.get(service) ?? 0) + 1);
      });
      sent.push(counted);
    }
    await clock.tickAsync(gapMs);
  }
  await clock.tickAsync(settleMs);
  await Promise.all(sent);
  return answers;
};

/** Calls that reached the targets for each request, while all are broken. */
const multiplication = (seed: number, fault: ServiceFault) =>
  withClock(async clock => {
    const fleet = new OperationFleet({ seed, instances: 4, runners: 4 });
    await sendAll(fleet, clock, ['booking']);
    const count = () =>
      fleet.pool.services.reduce(
        (sum, { callCounts: calls }) => sum + calls.call,
        0,
      );
    const before = count();
    for (const service of fleet.pool.services) breakService(service, fault);
    await sendAll(fleet, clock, ['booking']);
    return (count() - before) / requests;
  });

const healthyAnswers = (seed: number, fault: ServiceFault | undefined) =>
  withClock(async clock => {
    const services = ['booking', 'status-board'];
    const options = { seed, instances: 4, runners: 4, services };
    const fleet = new OperationFleet(options);
    for (const { faults } of fleet.pool.services) faults.slowMs = 20;
    for (const service of fleet.pool.services) {
      if (service.service !== 'booking' || fault === undefined) continue;
      breakService(service, fault);
    }
    const answers = await sendAll(fleet, clock, services);
    return answers.get('status-board') ?? 0;
  });

export const measureOperations: MeasureSuite = async ({ seed }) => {
  const rows: Measurement[] = [];
  for (const fault of faultKinds) {
    const value = await multiplication(seed, fault);
    rows.push({
      name: `calls for each request, every target ${fault}`,
      value,
      unit: 'calls',
      target: `<= ${maxMultiplication}`,
      met: value <= maxMultiplication,
    });
  }
  const own = await healthyAnswers(seed, undefined);
  for (const fault of faultKinds) {
    const value = (await healthyAnswers(seed, fault)) / own;
    rows.push({
      name: `goodput of a service while another is ${fault}`,
      value,
      unit: 'of its own without the fault',
      target: `>= ${minGoodputShare}`,
      met: value >= minGoodputShare,
    });
  }
  return rows;
};
