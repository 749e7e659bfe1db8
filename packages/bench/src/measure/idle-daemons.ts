/** What a daemon process costs for control alone, from its own metrics. */
import { sleep } from '@medlarlever/core';
import { request } from 'undici';

import { startDeployment } from '../demo/deployment.js';
import type { DemoDeployment } from '../demo/deployment.js';
import type { DemoProcess } from '../demo/demo-process.js';
import { applyTemplate, stopDeployment } from '../demo/steps.js';

import type { Measurement } from './measurement.js';

const settlingMs = 5_000;
const sampleWindowMs = 10_000;
const bytesPerMegabyte = 1_048_576;

const maxCpuCores = 0.036;
const maxResidentMegabytes = 256;
const maxSentBytesPerSecond = 9_000;

/** Sums of a daemon's counters at one time. */
interface DaemonSample {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
}

const parseMetric = (text: string, name: string): number =>
  Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);

const sampleDaemon = async (operator: string): Promise<DaemonSample> => {
  const { body } = await request(`${operator}/metrics`);
  const text = await body.text();
  return {
    cpuSeconds: parseMetric(text, 'process_cpu_seconds_total'),
    residentBytes: parseMetric(text, 'process_resident_memory_bytes'),
    sentBytes: parseMetric(text, 'medlarlever_peer_sent_bytes_total'),
  };
};

const sampleDaemons = (deployment: DemoDeployment): Promise<DaemonSample[]> =>
  Promise.all(
    deployment.daemons.map(({ operatorUrl }) => sampleDaemon(operatorUrl)),
  );

const computeMaxCost = (
  before: readonly DaemonSample[],
  after: readonly DaemonSample[],
  cost: (before: DaemonSample, after: DaemonSample) => number,
): number =>
  Math.max(...after.map((end, index) => cost(before[index] ?? end, end)));

const createBoundedMeasurement = (
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

const roundTo = (value: number, digits: number) =>
  Number(value.toFixed(digits));

/** Three idle daemons before six engines and three services. */
export const measureIdleDaemons = async (): Promise<Measurement[]> => {
  const started: DemoProcess[] = [];
  const deployment = await startDeployment(started);
  try {
    await applyTemplate(deployment, started);
    await sleep(settlingMs);
    const before = await sampleDaemons(deployment);
    await sleep(sampleWindowMs);
    const after = await sampleDaemons(deployment);
    const seconds = sampleWindowMs / 1_000;
    const cpu = computeMaxCost(
      before,
      after,
      (a, b) => (b.cpuSeconds - a.cpuSeconds) / seconds,
    );
    const memory = computeMaxCost(before, after, (_, b) => b.residentBytes);
    const sent = computeMaxCost(
      before,
      after,
      (a, b) => (b.sentBytes - a.sentBytes) / seconds,
    );
    return [
      createBoundedMeasurement(
        'idle daemon, processor',
        'cores',
        roundTo(cpu, 4),
        maxCpuCores,
      ),
      createBoundedMeasurement(
        'idle daemon, resident memory',
        'MB',
        roundTo(memory / bytesPerMegabyte, 1),
        maxResidentMegabytes,
      ),
      createBoundedMeasurement(
        'idle daemon, bodies sent to peers',
        'bytes/s',
        roundTo(sent, 0),
        maxSentBytesPerSecond,
      ),
    ];
  } finally {
    await stopDeployment(deployment);
  }
};
