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
  createChange,
  createConfigNode,
  withPausedClock,
} from '../control/fixtures.js';
import type { ConfigNode } from '../control/fixtures.js';

import { measureIdleDaemons } from './idle-daemons.js';
import type { Measurement, MeasureSuite } from './measurement.js';
import { measureMembership } from './membership.js';

const applies = 40;
const instances = 32;
const stepMs = 50;
const outageMs = 10_000;
const idleMs = 60_000;
const spacingMs = 3_000;
const targetMs = 5_000;

type Clock = Parameters<Parameters<typeof withPausedClock>[0]>[0];

const nameOf = (index: number) => `instance-${index}`;

/** Instances that are all connected to each other. */
const createDeployment = (seed: number) => {
  const table = new MemoryTable();
  const objects = new MemoryObjectStore();
  const network = new MemoryNetwork();
  const groups = Array.from(
    { length: instances },
    (_, i) => new MemoryPeerGroup(network, nameOf(i)),
  );
  const nodes = groups.map((peers, i) =>
    createConfigNode({ table, objects, peers, seed: seed * 1_000 + i }),
  );
  nodes.forEach(({ poller }, i) => {
    network.attachPeer(nameOf(i), poller.peerMethods());
  });
  for (const node of nodes) node.poller.start();
  return { table, objects, nodes };
};

const everywhere = (nodes: readonly ConfigNode[], revision: number) =>
  nodes.every(({ holder }) => holder.revision >= revision);

/** Milliseconds from accepted to in force at every instance. */
const timeInForce = async (
  clock: Clock,
  nodes: readonly ConfigNode[],
  revision: number,
) => {
  const startMs = performance.now();
  while (!everywhere(nodes, revision)) await clock.tickAsync(stepMs);
  return performance.now() - startMs;
};

/** With `outage`, the platform fails at the moment of each acceptance. */
const timesInForce = (seed: number, outage: boolean) =>
  withPausedClock(async clock => {
    const { table, objects, nodes } = createDeployment(seed);
    await clock.tickAsync(spacingMs);
    const times: number[] = [];
    for (let n = 0; n < applies; n += 1) {
      const editor = nodes[n % instances]?.editor;
      await editor?.apply(createChange(`op-${n}`, n, n % 10));
      table.faults.down = outage;
      objects.faults.down = outage;
      times.push(await timeInForce(clock, nodes, n + 1));
      await clock.tickAsync(outage ? outageMs : spacingMs);
      table.faults.down = false;
      objects.faults.down = false;
      await clock.tickAsync(spacingMs);
    }
    await Promise.all(nodes.map(({ poller }) => poller.stop()));
    return times.sort((a, b) => a - b);
  });

/** Reads a second of all instances without changes, writes of one change. */
const callRates = (seed: number) =>
  withPausedClock(async clock => {
    const { table, nodes } = createDeployment(seed);
    await clock.tickAsync(spacingMs);
    table.callCounts.read = 0;
    await clock.tickAsync(idleMs);
    const reads = (1_000 * table.callCounts.read) / idleMs;
    await nodes[0]?.editor.apply(createChange('op-0', 0));
    await Promise.all(nodes.map(({ poller }) => poller.stop()));
    return { reads, commits: table.callCounts.commit };
  });

const timeRows = (name: string, times: readonly number[]): Measurement[] => {
  const median = times[Math.floor(times.length / 2)] ?? 0;
  const worst = times.at(-1) ?? 0;
  const unit = 'ms, simulated';
  return [
    { name: `${name}, median of ${applies}`, value: Math.round(median), unit },
    {
      name: `${name}, worst of ${applies}`,
      value: Math.round(worst),
      unit,
      target: `<= ${targetMs}`,
      met: worst <= targetMs,
    },
  ];
};

export const measureControl: MeasureSuite = async ({ seed }) => {
  const name = `accepted to in force at ${instances} instances`;
  const rates = await callRates(seed);
  return [
    ...timeRows(name, await timesInForce(seed, false)),
    ...timeRows(`${name}, platform down`, await timesInForce(seed, true)),
    {
      name: `table reads of ${instances} idle instances`,
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
