/**
 * Measures the processor time, memory and peer traffic of daemon processes
 * without requests, from the metrics that they serve.
 */
import { sleep } from '@medlarlever/core';
import { request } from 'undici';

import { startDeployment } from '../demo/deployment.js';
import type { DemoDeployment } from '../demo/deployment.js';
import type { DemoProcess } from '../demo/demo-process.js';
import { applyTemplate, stopDeployment } from '../demo/steps.js';

import type { Measurement } from './measurement.js';

/** Milliseconds between applying the template and the measurement. */
const settlingMs = 5_000;
const sampleWindowMs = 10_000;
const bytesPerMegabyte = 1_048_576;

/** Maximum processor use of an idle daemon, in cores. */
const maxCpuCores = 0.036;
const maxResidentMegabytes = 256;
const maxSentBytesPerSecond = 9_000;

/** Values of a daemon's metrics at one time. */
interface DaemonSample {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
}

/** Returns the value of a metric without labels, or 0 if it is missing. */
const parseMetric = (text: string, name: string): number =>
  Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);

const sampleDaemon = async (operatorUrl: string): Promise<DaemonSample> => {
  const { body } = await request(`${operatorUrl}/metrics`);
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

/** Returns the highest cost among the daemons between two samples. */
const computeMaxCost = (
  before: readonly DaemonSample[],
  after: readonly DaemonSample[],
  computeCost: (before: DaemonSample, after: DaemonSample) => number,
): number =>
  Math.max(
    ...after.map((afterSample, index) =>
      computeCost(before[index] ?? afterSample, afterSample),
    ),
  );

/** Creates a measurement whose target is a maximum. */
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

/** Measures three idle daemons in front of six engines and three services. */
export const measureIdleDaemons = async (): Promise<Measurement[]> => {
  const startedProcesses: DemoProcess[] = [];
  const deployment = await startDeployment(startedProcesses);
  try {
    await applyTemplate(deployment, startedProcesses);
    await sleep(settlingMs);
    const before = await sampleDaemons(deployment);
    await sleep(sampleWindowMs);
    const after = await sampleDaemons(deployment);
    const seconds = sampleWindowMs / 1_000;
    const cpuCores = computeMaxCost(
      before,
      after,
      (a, b) => (b.cpuSeconds - a.cpuSeconds) / seconds,
    );
    const residentBytes = computeMaxCost(
      before,
      after,
      (_, b) => b.residentBytes,
    );
    const sentBytesPerSecond = computeMaxCost(
      before,
      after,
      (a, b) => (b.sentBytes - a.sentBytes) / seconds,
    );
    return [
      createBoundedMeasurement(
        'idle daemon, processor',
        'cores',
        roundTo(cpuCores, 4),
        maxCpuCores,
      ),
      createBoundedMeasurement(
        'idle daemon, resident memory',
        'MB',
        roundTo(residentBytes / bytesPerMegabyte, 1),
        maxResidentMegabytes,
      ),
      createBoundedMeasurement(
        'idle daemon, bodies sent to peers',
        'bytes/s',
        roundTo(sentBytesPerSecond, 0),
        maxSentBytesPerSecond,
      ),
    ];
  } finally {
    await stopDeployment(deployment);
  }
};
