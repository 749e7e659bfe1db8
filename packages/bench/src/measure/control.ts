/**
 * Measurement suite of `npm run measure -- control`. Configuration and membership
 * run as instances in one process with a fake clock, so their times are
 * simulated and calls take no time. Idle daemons run as real processes.
 */
import {
  MemoryNetwork,
  MemoryObjectStore,
  MemoryPeerGroup,
  MemoryTable,
} from '@medlarlever/stand-ins';

import {
  createConfigurationChange,
  createConfigurationInstance,
  withFakeClock,
} from '../control/fixtures.js';
import type { ConfigurationInstance } from '../control/fixtures.js';

import { measureIdleDaemons } from './idle-daemons.js';
import type { Measurement, MeasurementSuite } from './measurement.js';
import { measureMembership } from './membership.js';

const changeCount = 40;
const instanceCount = 32;
/** Resolution of the measured propagation times. */
const clockStepMs = 50;
const outageMs = 10_000;
const idleWindowMs = 60_000;
const changeIntervalMs = 3_000;
const maxPropagationMs = 5_000;

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

const formatInstanceName = (index: number) => `instance-${index}`;

/** Starts configuration instances that are all connected to each other. */
const createDeployment = (seed: number) => {
  const table = new MemoryTable();
  const objects = new MemoryObjectStore();
  const network = new MemoryNetwork();
  const peerGroups = Array.from(
    { length: instanceCount },
    (_, i) => new MemoryPeerGroup(network, formatInstanceName(i)),
  );
  const instances = peerGroups.map((peers, i) =>
    createConfigurationInstance({
      table,
      objects,
      peers,
      seed: seed * 1_000 + i,
    }),
  );
  instances.forEach(({ poller }, i) => {
    network.attachPeer(formatInstanceName(i), poller.peerMethods());
  });
  for (const instance of instances) instance.poller.start();
  return { table, objects, instances };
};

const isInForceEverywhere = (
  instances: readonly ConfigurationInstance[],
  revision: number,
) => instances.every(({ holder }) => holder.revision >= revision);

/** Returns the milliseconds until the revision is in force at every instance. */
const measurePropagationMs = async (
  clock: Clock,
  instances: readonly ConfigurationInstance[],
  revision: number,
) => {
  const startMs = performance.now();
  while (!isInForceEverywhere(instances, revision))
    await clock.tickAsync(clockStepMs);
  return performance.now() - startMs;
};

/**
 * Applies changes and returns their propagation times, sorted. With `hasOutage`,
 * the table and object store fail as soon as a change has been accepted.
 */
const measurePropagationTimes = (seed: number, hasOutage: boolean) =>
  withFakeClock(async clock => {
    const { table, objects, instances } = createDeployment(seed);
    await clock.tickAsync(changeIntervalMs);
    const timesMs: number[] = [];
    for (let n = 0; n < changeCount; n += 1) {
      const editor = instances[n % instanceCount]?.editor;
      await editor?.apply(createConfigurationChange(`op-${n}`, n, n % 10));
      table.faults.down = hasOutage;
      objects.faults.down = hasOutage;
      timesMs.push(await measurePropagationMs(clock, instances, n + 1));
      await clock.tickAsync(hasOutage ? outageMs : changeIntervalMs);
      table.faults.down = false;
      objects.faults.down = false;
      await clock.tickAsync(changeIntervalMs);
    }
    await Promise.all(instances.map(({ poller }) => poller.stop()));
    return timesMs.sort((a, b) => a - b);
  });

/**
 * Measures the table reads per second of all instances without changes, and the
 * transactions of one change.
 */
const measureTableCalls = (seed: number) =>
  withFakeClock(async clock => {
    const { table, instances } = createDeployment(seed);
    await clock.tickAsync(changeIntervalMs);
    table.callCounts.read = 0;
    await clock.tickAsync(idleWindowMs);
    const readsPerSecond = (1_000 * table.callCounts.read) / idleWindowMs;
    await instances[0]?.editor.apply(createConfigurationChange('op-0', 0));
    await Promise.all(instances.map(({ poller }) => poller.stop()));
    return { readsPerSecond, commits: table.callCounts.commit };
  });

/** Creates rows for median and maximum; `timesMs` is sorted in ascending order. */
const createTimeMeasurements = (
  name: string,
  timesMs: readonly number[],
): Measurement[] => {
  const medianMs = timesMs[Math.floor(timesMs.length / 2)] ?? 0;
  const maxMs = timesMs.at(-1) ?? 0;
  const unit = 'ms, simulated';
  return [
    {
      name: `${name}, median of ${changeCount}`,
      value: Math.round(medianMs),
      unit,
    },
    {
      name: `${name}, worst of ${changeCount}`,
      value: Math.round(maxMs),
      unit,
      target: `<= ${maxPropagationMs}`,
      met: maxMs <= maxPropagationMs,
    },
  ];
};

/** Measures configuration propagation, table calls, heartbeats and idle daemons. */
export const measureControl: MeasurementSuite = async ({ seed }) => {
  const name = `accepted to in force at ${instanceCount} instances`;
  const tableCalls = await measureTableCalls(seed);
  return [
    ...createTimeMeasurements(name, await measurePropagationTimes(seed, false)),
    ...createTimeMeasurements(
      `${name}, platform down`,
      await measurePropagationTimes(seed, true),
    ),
    {
      name: `table reads of ${instanceCount} idle instances`,
      value: Number(tableCalls.readsPerSecond.toFixed(1)),
      unit: 'reads/s, simulated',
    },
    {
      name: 'table transactions of one change',
      value: tableCalls.commits,
      unit: 'transactions of 3 rows',
    },
    ...(await measureMembership(seed)),
    ...(await measureIdleDaemons()),
  ];
};
