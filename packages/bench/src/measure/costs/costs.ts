/**
 * Measurement suite of `npm run measure -- costs`: what one instance of the built
 * daemon uses at the start, at rest and for requests, beside a bare pass-through.
 */
import { spawn } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { sleep } from '@medlarlever/core';
import { startInstantTarget } from '@medlarlever/platform/stand-ins';

import { createMeasurement } from '../create-measurement.js';
import type { Measurement, MeasurementSuite } from '../measurement.js';

import { CostDeployment } from './cost-deployment.js';
import type { CostInstance } from './cost-deployment.js';
import { summarizeProfiles } from './profile-summary.js';
import { readProcessUsage, subtractUsage } from './process-usage.js';
import type { ProcessUsage } from './process-usage.js';
import { requestKinds, sendLoad } from './request-load.js';
import type { RequestKind } from './request-load.js';

const restInstanceCounts = [8, 24, 80];
const settlingMs = 8_000;
const restWindowMs = 10_000;
const warmUpMs = 3_000;
const loadMs = 5_000;
const runCount = 3;
const startCount = 5;
const profileOwnerCount = 12;
const passThroughPort = 14_010;

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

const createUsageMeasurements = (
  name: string,
  usages: readonly ProcessUsage[],
): Measurement[] => [
  createMeasurement(
    `${name}: processor`,
    median(usages.map(({ cpuMs }) => cpuMs)),
    'ms',
    2,
  ),
  createMeasurement(
    `${name}: wake-ups`,
    median(usages.map(({ wakeups }) => wakeups)),
    'count',
  ),
  createMeasurement(
    `${name}: reads and writes`,
    median(usages.map(({ readWriteCalls }) => readWriteCalls)),
    'count',
  ),
];

const divideUsage = (usage: ProcessUsage, count: number): ProcessUsage => ({
  cpuMs: usage.cpuMs / count,
  wakeups: usage.wakeups / count,
  readWriteCalls: usage.readWriteCalls / count,
  residentMegabytes: usage.residentMegabytes,
});

/** Starts one instance at a time; its usage until it is ready. */
const measureStarts = async (): Promise<Measurement[]> => {
  const usages: ProcessUsage[] = [];
  for (let i = 0; i < startCount; i += 1) {
    const deployment = await CostDeployment.start({ instanceCount: 1 });
    usages.push(...deployment.instances.map(instance => instance.readUsage()));
    await deployment.stop();
  }
  return createUsageMeasurements('start', usages);
};

/** Measures all instances of an idle deployment; the median instance counts. */
const measureRest = async (instanceCount: number): Promise<Measurement[]> => {
  const deployment = await CostDeployment.start({ instanceCount });
  try {
    await sleep(settlingMs);
    const before = deployment.instances.map(instance => instance.readUsage());
    const callsBefore = deployment.store.callPaths.length;
    await sleep(restWindowMs);
    const seconds = restWindowMs / 1_000;
    const usages = deployment.instances.map((instance, i) =>
      divideUsage(
        subtractUsage(instance.readUsage(), before[i] ?? instance.readUsage()),
        seconds,
      ),
    );
    const storeCalls = deployment.store.callPaths.length - callsBefore;
    const name = `second at rest, ${instanceCount} instances`;
    const meanCpuMs =
      usages.reduce((total, { cpuMs }) => total + cpuMs, 0) / usages.length;
    return [
      ...createUsageMeasurements(name, usages),
      createMeasurement(`${name}: processor, mean`, meanCpuMs, 'ms', 2),
      createMeasurement(
        `${name}: processor, busiest instance`,
        Math.max(...usages.map(({ cpuMs }) => cpuMs)),
        'ms',
        2,
      ),
      createMeasurement(
        `${name}: calls to the store by all`,
        storeCalls / seconds,
        'count',
      ),
      createMeasurement(
        `${name}: resident memory`,
        median(usages.map(({ residentMegabytes }) => residentMegabytes)),
        'MB',
      ),
    ];
  } finally {
    await deployment.stop();
  }
};

/** Returns the usage for one request, without what the process uses at rest. */
const measureRequest = async (
  url: string,
  kind: RequestKind,
  readUsage: () => ProcessUsage,
): Promise<ProcessUsage> => {
  const restBefore = readUsage();
  await sleep(loadMs);
  const before = readUsage();
  const { sent, expected } = await sendLoad(url, kind, loadMs);
  const after = readUsage();
  if (expected < 0.95 * sent) {
    const reason = `${expected} of ${sent} had status ${kind.expectedStatus}`;
    throw new Error(`${kind.name}: ${reason}`);
  }
  const rest = subtractUsage(before, restBefore);
  return divideUsage(
    subtractUsage(after, {
      cpuMs: before.cpuMs + rest.cpuMs,
      wakeups: before.wakeups + rest.wakeups,
      readWriteCalls: before.readWriteCalls + rest.readWriteCalls,
      residentMegabytes: 0,
    }),
    sent,
  );
};

const startPassThrough = async () => {
  const target = await startInstantTarget();
  const path = fileURLToPath(new URL('pass-through.js', import.meta.url));
  const targetPort = target.address.split(':').at(-1) ?? '';
  const child = spawn(
    process.execPath,
    [path, String(passThroughPort), targetPort],
    { stdio: 'inherit' },
  );
  process.once('exit', () => child.kill('SIGKILL'));
  await sleep(1_000);
  return {
    url: `http://127.0.0.1:${passThroughPort}`,
    readUsage: () => readProcessUsage(child.pid ?? 0),
    stop: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
      await target.stop();
    },
  };
};

const measureRequests = async (
  instance: CostInstance,
): Promise<Measurement[]> => {
  const passThrough = await startPassThrough();
  const measurements: Measurement[] = [];
  const { plain, stream, refused } = requestKinds;
  for (const kind of [plain, stream, refused]) {
    const usages: ProcessUsage[] = [];
    const bareUsages: ProcessUsage[] = [];
    // A pass-through refuses nothing; it serves the plain request instead.
    const bareKind = kind === refused ? plain : kind;
    await sendLoad(instance.callerUrl, kind, warmUpMs);
    await sendLoad(passThrough.url, bareKind, warmUpMs);
    for (let run = 0; run < runCount; run += 1) {
      usages.push(
        await measureRequest(instance.callerUrl, kind, () =>
          instance.readUsage(),
        ),
      );
      bareUsages.push(
        await measureRequest(passThrough.url, bareKind, passThrough.readUsage),
      );
    }
    const cpuMs = median(usages.map(usage => usage.cpuMs));
    const bareCpuMs = median(bareUsages.map(usage => usage.cpuMs));
    measurements.push(
      ...createUsageMeasurements(kind.name, usages),
      createMeasurement(
        `${kind.name}: processor of a bare pass-through`,
        bareCpuMs,
        'ms',
        2,
      ),
      createMeasurement(
        `${kind.name}: ratio to a bare pass-through`,
        cpuMs / bareCpuMs,
        'times',
        2,
      ),
    );
  }
  await passThrough.stop();
  return measurements;
};

/** Profiles the program under a load, or at rest without one. */
const measureProfile = async (
  name: string,
  instanceCount: number,
  kind: RequestKind | undefined,
): Promise<Measurement[]> => {
  const profileFolder = await mkdtemp(join(tmpdir(), 'profile-'));
  const deployment = await CostDeployment.start({
    instanceCount,
    profileFolder,
  });
  const [instance] = deployment.instances;
  const durationMs = settlingMs + restWindowMs;
  if (kind === undefined || instance === undefined) await sleep(durationMs);
  else await sendLoad(instance.callerUrl, kind, durationMs);
  await deployment.stop();
  const summary = summarizeProfiles(profileFolder, 0.4);
  await rm(profileFolder, { recursive: true });
  return summary
    .slice(0, profileOwnerCount)
    .map(([owner, share]) =>
      createMeasurement(`profile, ${name}: ${owner}`, share, '% of busy time'),
    );
};

/** Measures starts, rest and requests, and profiles rest and requests. */
export const measureCosts: MeasurementSuite = async () => {
  const measurements = await measureStarts();
  for (const instanceCount of restInstanceCounts) {
    measurements.push(...(await measureRest(instanceCount)));
  }
  const deployment = await CostDeployment.start({ instanceCount: 1 });
  const [instance] = deployment.instances;
  if (instance !== undefined) {
    measurements.push(...(await measureRequests(instance)));
  }
  await deployment.stop();
  const { plain, stream } = requestKinds;
  return [
    ...measurements,
    ...(await measureProfile('rest of 8 instances', 8, undefined)),
    ...(await measureProfile(plain.name, 1, plain)),
    ...(await measureProfile(stream.name, 1, stream)),
  ];
};
