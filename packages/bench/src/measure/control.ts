/**
 * Measurements of `npm run measure -- control`: instances in one process under
 * a paused clock, so times are simulated and calls take no time.
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
const clockStepMs = 50;
const outageMs = 10_000;
const idleWindowMs = 60_000;
const changeIntervalMs = 3_000;
const maxPropagationMs = 5_000;

type Clock = Parameters<Parameters<typeof withFakeClock>[0]>[0];

const formatInstanceName = (index: number) => `instance-${index}`;

/** Instances that are all connected to each other. */
const createDeployment = (seed: number) => {
  const table = new MemoryTable();
  const objects = new MemoryObjectStore();
  const network = new MemoryNetwork();
  const groups = Array.from(
    { length: instanceCount },
    (_, i) => new MemoryPeerGroup(network, formatInstanceName(i)),
  );
  const nodes = groups.map((peers, i) =>
    createConfigurationInstance({
      table,
      objects,
      peers,
      seed: seed * 1_000 + i,
    }),
  );
  nodes.forEach(({ poller }, i) => {
    network.attachPeer(formatInstanceName(i), poller.peerMethods());
  });
  for (const node of nodes) node.poller.start();
  return { table, objects, nodes };
};

const isInForceEverywhere = (
  nodes: readonly ConfigurationInstance[],
  revision: number,
) => nodes.every(({ holder }) => holder.revision >= revision);

/** Milliseconds from accepted to in force at every instance. */
const measurePropagationMs = async (
  clock: Clock,
  nodes: readonly ConfigurationInstance[],
  revision: number,
) => {
  const startMs = performance.now();
  while (!isInForceEverywhere(nodes, revision))
    await clock.tickAsync(clockStepMs);
  return performance.now() - startMs;
};

/** With `outage`, the platform fails at the moment of each acceptance. */
const measurePropagationTimes = (seed: number, outage: boolean) =>
  withFakeClock(async clock => {
    const { table, objects, nodes } = createDeployment(seed);
    await clock.tickAsync(changeIntervalMs);
    const times: number[] = [];
    for (let n = 0; n < changeCount; n += 1) {
      const editor = nodes[n % instanceCount]?.editor;
      await editor?.apply(createConfigurationChange(`op-${n}`, n, n % 10));
      table.faults.down = outage;
      objects.faults.down = outage;
      times.push(await measurePropagationMs(clock, nodes, n + 1));
      await clock.tickAsync(outage ? outageMs : changeIntervalMs);
      table.faults.down = false;
      objects.faults.down = false;
      await clock.tickAsync(changeIntervalMs);
    }
    await Promise.all(nodes.map(({ poller }) => poller.stop()));
    return times.sort((a, b) => a - b);
  });

/** Reads a second of all instances without changes, writes of one change. */
const measureTableCalls = (seed: number) =>
  withFakeClock(async clock => {
    const { table, nodes } = createDeployment(seed);
    await clock.tickAsync(changeIntervalMs);
    table.callCounts.read = 0;
    await clock.tickAsync(idleWindowMs);
    const reads = (1_000 * table.callCounts.read) / idleWindowMs;
    await nodes[0]?.editor.apply(createConfigurationChange('op-0', 0));
    await Promise.all(nodes.map(({ poller }) => poller.stop()));
    return { reads, commits: table.callCounts.commit };
  });

const createTimeMeasurements = (
  name: string,
  times: readonly number[],
): Measurement[] => {
  const median = times[Math.floor(times.length / 2)] ?? 0;
  const worst = times.at(-1) ?? 0;
  const unit = 'ms, simulated';
  return [
    {
      name: `${name}, median of ${changeCount}`,
      value: Math.round(median),
      unit,
    },
    {
      name: `${name}, worst of ${changeCount}`,
      value: Math.round(worst),
      unit,
      target: `<= ${maxPropagationMs}`,
      met: worst <= maxPropagationMs,
    },
  ];
};

export const measureControl: MeasurementSuite = async ({ seed }) => {
  const name = `accepted to in force at ${instanceCount} instances`;
  const rates = await measureTableCalls(seed);
  return [
    ...createTimeMeasurements(name, await measurePropagationTimes(seed, false)),
    ...createTimeMeasurements(
      `${name}, platform down`,
      await measurePropagationTimes(seed, true),
    ),
    {
      name: `table reads of ${instanceCount} idle instances`,
      value: Number(rates.reads.toFixed(1)),
      unit: 'reads/s, simulated',
    },
    {
      name: 'table transactions of one change',
      value: rates.commits,
      unit: 'transactions of 3 rows',
    },
    ...(await measureMembership(seed)),
    ...(await measureIdleDaemons()),
  ];
};
