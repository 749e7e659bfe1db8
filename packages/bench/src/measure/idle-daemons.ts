/** What a daemon process costs for control alone, from its own metrics. */
import { sleep } from '@medlarlever/core';
import { request } from 'undici';

import { startDeployment } from '../demo/deployment.js';
import type { Deployment } from '../demo/deployment.js';
import type { DemoProcess } from '../demo/demo-process.js';
import { applyTemplate, stopAll } from '../demo/steps.js';

import type { Measurement } from './measurement.js';

const settleMs = 5_000;
const windowMs = 10_000;
const bytesPerMegabyte = 1_048_576;

const maxCoreShare = 0.036;
const maxMegabytes = 256;
const maxBytesPerSecond = 9_000;

/** Sums of a daemon's counters at one time. */
interface Sample {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
}

const valueOf = (text: string, name: string): number =>
  Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);

const sample = async (operator: string): Promise<Sample> => {
  const { body } = await request(`${operator}/metrics`);
  const text = await body.text();
  return {
    cpuSeconds: valueOf(text, 'process_cpu_seconds_total'),
    residentBytes: valueOf(text, 'process_resident_memory_bytes'),
    sentBytes: valueOf(text, 'medlarlever_peer_sent_bytes_total'),
  };
};

const sampleAll = (deployment: Deployment): Promise<Sample[]> =>
  Promise.all(deployment.daemons.map(({ operatorUrl }) => sample(operatorUrl)));

const worst = (
  before: readonly Sample[],
  after: readonly Sample[],
  cost: (before: Sample, after: Sample) => number,
): number =>
  Math.max(...after.map((end, index) => cost(before[index] ?? end, end)));

const bounded = (
  name: string,
  unit: string,
  value: number,
  limit: number,
): Measurement => ({
  name,
  unit,
  value,
  target: `<= ${limit}`,
  met: value <= limit,
});

const round = (value: number, digits: number) => Number(value.toFixed(digits));

/** Three idle daemons before six engines and three services. */
export const measureIdleDaemons = async (): Promise<Measurement[]> => {
  const started: DemoProcess[] = [];
  const deployment = await startDeployment(started);
  try {
    await applyTemplate(deployment, started);
    await sleep(settleMs);
    const before = await sampleAll(deployment);
    await sleep(windowMs);
    const after = await sampleAll(deployment);
    const seconds = windowMs / 1_000;
    const cpu = worst(
      before,
      after,
      (a, b) => (b.cpuSeconds - a.cpuSeconds) / seconds,
    );
    const memory = worst(before, after, (_, b) => b.residentBytes);
    const sent = worst(
      before,
      after,
      (a, b) => (b.sentBytes - a.sentBytes) / seconds,
    );
    return [
      bounded('idle daemon, processor', 'cores', round(cpu, 4), maxCoreShare),
      bounded(
        'idle daemon, resident memory',
        'MB',
        round(memory / bytesPerMegabyte, 1),
        maxMegabytes,
      ),
      bounded(
        'idle daemon, bodies sent to peers',
        'bytes/s',
        round(sent, 0),
        maxBytesPerSecond,
      ),
    ];
  } finally {
    await stopAll(deployment);
  }
};
