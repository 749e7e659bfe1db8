/** Load multiplication by retries, and goodput beside a faulty service. */
import FakeTimers from '@sinonjs/fake-timers';
import type { FakeService } from '@medlarlever/stand-ins';

import { OperationFleet } from '../operations/operation-fleet.js';
import type { Measurement, MeasurementSuite } from './measurement.js';

type ServiceFault = 'down' | 'hung' | 'slow' | 'refusing';

const serviceFaults: readonly ServiceFault[] = [
  'down',
  'hung',
  'slow',
  'refusing',
];
const requestCount = 1_000;
const requestIntervalMs = 10;
const settlingMs = 30_000;
const slowResponseMs = 4_000;
const maxLoadMultiplication = 1.1;
const minGoodputShare = 0.99;

const injectServiceFault = (service: FakeService, fault: ServiceFault) => {
  if (fault === 'down') service.crash();
  if (fault === 'hung') service.faults.hang = true;
  if (fault === 'slow') service.faults.slowMs = slowResponseMs;
  if (fault === 'refusing') service.faults.refuse = true;
};

const withFakeClock = async <T>(
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
const sendLookups = async (
  fleet: OperationFleet,
  clock: FakeTimers.Clock,
  services: readonly string[],
): Promise<Map<string, number>> => {
  const answers = new Map<string, number>();
  const sent: Promise<void>[] = [];
  for (let i = 0; i < requestCount; i += 1) {
    for (const service of services) {
      const sending = { service, operation: 'status', body: `${i}` } as const;
      const counted = fleet.sendRequest(i, sending).then(one => {
        if (one.isLeft()) return;
        answers.set(service, (answers.get(service) ?? 0) + 1);
      });
      sent.push(counted);
    }
    await clock.tickAsync(requestIntervalMs);
  }
  await clock.tickAsync(settlingMs);
  await Promise.all(sent);
  return answers;
};

/** Calls that reached the targets for each request, while all are broken. */
const measureLoadMultiplication = (seed: number, fault: ServiceFault) =>
  withFakeClock(async clock => {
    const fleet = new OperationFleet({
      seed,
      instanceCount: 4,
      targetsPerService: 4,
    });
    await sendLookups(fleet, clock, ['booking']);
    const count = () =>
      fleet.servicePool.services.reduce(
        (sum, { callCounts: calls }) => sum + calls.call,
        0,
      );
    const before = count();
    for (const service of fleet.servicePool.services)
      injectServiceFault(service, fault);
    await sendLookups(fleet, clock, ['booking']);
    return (count() - before) / requestCount;
  });

const countHealthyAnswers = (seed: number, fault: ServiceFault | undefined) =>
  withFakeClock(async clock => {
    const services = ['booking', 'status-board'];
    const options = { seed, instanceCount: 4, targetsPerService: 4, services };
    const fleet = new OperationFleet(options);
    for (const { faults } of fleet.servicePool.services) faults.slowMs = 20;
    for (const service of fleet.servicePool.services) {
      if (service.service !== 'booking' || fault === undefined) continue;
      injectServiceFault(service, fault);
    }
    const answers = await sendLookups(fleet, clock, services);
    return answers.get('status-board') ?? 0;
  });

export const measureOperations: MeasurementSuite = async ({ seed }) => {
  const rows: Measurement[] = [];
  for (const fault of serviceFaults) {
    const value = await measureLoadMultiplication(seed, fault);
    rows.push({
      name: `calls for each request, every target ${fault}`,
      value,
      unit: 'calls',
      target: `<= ${maxLoadMultiplication}`,
      met: value <= maxLoadMultiplication,
    });
  }
  const own = await countHealthyAnswers(seed, undefined);
  for (const fault of serviceFaults) {
    const value = (await countHealthyAnswers(seed, fault)) / own;
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
