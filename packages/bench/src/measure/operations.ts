/**
 * Measures how far retries multiply the load of failing targets, and whether a
 * failing service reduces the goodput of another one.
 */
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
/** Milliseconds between two requests to the same service. */
const requestIntervalMs = 10;
/** Simulated wait for the last requests to end. */
const settlingMs = 30_000;
const slowResponseMs = 4_000;
/** Maximum ratio of target calls to requests while all targets fail. */
const maxLoadMultiplication = 1.1;
/** Minimum share of the answers that the service gives without the fault. */
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

/** Sends status requests to each service and counts the answers by service. */
const sendLookups = async (
  fleet: OperationFleet,
  clock: FakeTimers.Clock,
  services: readonly string[],
): Promise<Map<string, number>> => {
  const answerCounts = new Map<string, number>();
  const pendingRequests: Promise<void>[] = [];
  for (let i = 0; i < requestCount; i += 1) {
    for (const service of services) {
      const operationRequest = {
        service,
        operation: 'status',
        body: `${i}`,
      } as const;
      const countedRequest = fleet
        .sendRequest(i, operationRequest)
        .then(answer => {
          if (answer.isLeft()) return;
          answerCounts.set(service, (answerCounts.get(service) ?? 0) + 1);
        });
      pendingRequests.push(countedRequest);
    }
    await clock.tickAsync(requestIntervalMs);
  }
  await clock.tickAsync(settlingMs);
  await Promise.all(pendingRequests);
  return answerCounts;
};

/** Returns the target calls per request while every target has the fault. */
const measureLoadMultiplication = (seed: number, fault: ServiceFault) =>
  withFakeClock(async clock => {
    const fleet = new OperationFleet({
      seed,
      instanceCount: 4,
      targetsPerService: 4,
    });
    await sendLookups(fleet, clock, ['booking']);
    const countCalls = () =>
      fleet.servicePool.services.reduce(
        (sum, { callCounts }) => sum + callCounts.call,
        0,
      );
    const callsBefore = countCalls();
    for (const service of fleet.servicePool.services)
      injectServiceFault(service, fault);
    await sendLookups(fleet, clock, ['booking']);
    return (countCalls() - callsBefore) / requestCount;
  });

/**
 * Counts the answers of the service status-board while the targets of the
 * service booking have the fault, if any.
 */
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
    const answerCounts = await sendLookups(fleet, clock, services);
    return answerCounts.get('status-board') ?? 0;
  });

/** Measures load multiplication and goodput for every kind of service fault. */
export const measureOperations: MeasurementSuite = async ({ seed }) => {
  const measurements: Measurement[] = [];
  for (const fault of serviceFaults) {
    const value = await measureLoadMultiplication(seed, fault);
    measurements.push({
      name: `calls for each request, every target ${fault}`,
      value,
      unit: 'calls',
      target: `<= ${maxLoadMultiplication}`,
      met: value <= maxLoadMultiplication,
    });
  }
  const healthyAnswerCount = await countHealthyAnswers(seed, undefined);
  for (const fault of serviceFaults) {
    const value = (await countHealthyAnswers(seed, fault)) / healthyAnswerCount;
    measurements.push({
      name: `goodput of a service while another is ${fault}`,
      value,
      unit: 'of its own without the fault',
      target: `>= ${minGoodputShare}`,
      met: value >= minGoodputShare,
    });
  }
  return measurements;
};
