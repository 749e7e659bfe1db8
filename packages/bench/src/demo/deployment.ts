/** Starts the processes of the demo: the platform, the targets and the daemons. */
import { createHash } from 'node:crypto';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { FleetMember } from '@medlarlever/core';
import { request } from 'undici';
import { z } from 'zod';

import { DemoProcess } from './demo-process.js';

const loopbackHost = '127.0.0.1';
const startTimeoutMs = 60_000;
const dataCenters = ['bogota-1', 'bogota-2', 'bogota-3'] as const;
const enginesPerDataCenter = 2;
const modelNames = ['style-base@1', 'style-base@1+bogota', 'style-base@1+cali'];

/** API key of the demo operator; the daemons store only its hash. */
export const operatorKey = 'demo-operator-key';

const readyMessageSchema = z.object({
  name: z.string(),
  address: z.string(),
  incarnation: z.string(),
});

/** A daemon process with its data centre and base URLs. */
export interface DemoDaemon {
  readonly process: DemoProcess;
  readonly dataCenter: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
}

/** A stand-in engine or service with its entry in the fleet list. */
export interface StandInTarget {
  readonly process: DemoProcess;
  readonly member: FleetMember;
}

/** All processes of a started demo. */
export interface DemoDeployment {
  readonly platform: DemoProcess;
  readonly platformUrl: string;
  readonly targets: readonly StandInTarget[];
  readonly daemons: readonly DemoDaemon[];
}

/** Returns a port that is free at the moment of the call. */
const findFreePort = (): Promise<number> =>
  new Promise(resolve => {
    const server = createServer();
    server.listen(0, loopbackHost, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });

const startStandIn = async (
  startedProcesses: DemoProcess[],
  kind: 'platform' | 'engine' | 'service',
  name: string,
  args: readonly string[] = [],
) => {
  const process = new DemoProcess({
    name,
    programPath: 'stand-ins/bin/medlarlever-stand-in.js',
    args: [kind, '--name', name, ...args],
  });
  startedProcesses.push(process);
  const line = await process.waitForLine(
    text => text.startsWith('{'),
    startTimeoutMs,
  );
  if (line === undefined)
    throw new Error(
      `process "${name}" exited or did not report its start in time; see its output`,
    );
  return { process, ready: readyMessageSchema.parse(JSON.parse(line)) };
};

const startTarget = async (
  startedProcesses: DemoProcess[],
  kind: 'engine' | 'service',
  name: string,
  dataCenter: string,
): Promise<StandInTarget> => {
  const args =
    kind === 'engine'
      ? [
          ...modelNames.flatMap(model => ['--model', model]),
          '--decode-ms',
          '30',
        ]
      : ['--service', 'style-guide'];
  const { process, ready } = await startStandIn(
    startedProcesses,
    kind,
    name,
    args,
  );
  const service = kind === 'service' ? 'style-guide' : undefined;
  const state = 'live' as const;
  return { process, member: { ...ready, kind, dataCenter, state, service } };
};

const formatSettings = (
  name: string,
  dataCenter: string,
  ports: readonly number[],
  platformUrl: string,
): string => `
[instance]
name = "${name}"
data_center = "${dataCenter}"
deployment = "demo"
incarnation = "${name}-1"

[listen]
caller = "${loopbackHost}:${ports[0] ?? 0}"
operator = "${loopbackHost}:${ports[1] ?? 0}"
peer = "${loopbackHost}:${ports[2] ?? 0}"

[platform]
table_url = "${platformUrl}"
object_url = "${platformUrl}"
fleet_url = "${platformUrl}/fleet"

[peers]
secret = "secret of the demo's peers"

[[operators]]
name = "demo"
key_hash = "${createHash('sha256').update(operatorKey).digest('hex')}"

[streams]
secret = "secret of the demo's streams"

[shutdown]
notice_ms = 200
grace_ms = 10000
`;

const startDaemon = async (
  startedProcesses: DemoProcess[],
  name: string,
  dataCenter: string,
  platformUrl: string,
) => {
  const ports = [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
  const directory = await mkdtemp(join(tmpdir(), 'medlarlever-demo-'));
  const settingsPath = join(directory, `${name}.toml`);
  await writeFile(
    settingsPath,
    formatSettings(name, dataCenter, ports, platformUrl),
  );
  const process = new DemoProcess({
    name,
    programPath: 'daemon/bin/medlarleverd.js',
    args: [settingsPath],
  });
  startedProcesses.push(process);
  const line = await process.waitForLine(
    text => text.includes('process_started'),
    startTimeoutMs,
  );
  if (line === undefined)
    throw new Error(
      `process "${name}" exited or did not report its start in time; see its output`,
    );
  const [caller = 0, operator = 0, peer = 0] = ports;
  const daemon: DemoDaemon = {
    process,
    dataCenter,
    callerUrl: `http://${loopbackHost}:${caller}`,
    operatorUrl: `http://${loopbackHost}:${operator}`,
  };
  const member: FleetMember = {
    name,
    kind: 'entry',
    dataCenter,
    incarnation: `${name}-1`,
    address: `${loopbackHost}:${peer}`,
    state: 'live',
  };
  return { daemon, member };
};

/** Replaces the fleet list of the platform. */
export const postFleetMembers = async (
  platformUrl: string,
  members: readonly FleetMember[],
): Promise<void> => {
  const { body } = await request(`${platformUrl}/fleet`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(members),
  });
  await body.dump();
};

/** Starts all processes; adds each process to `startedProcesses` at once, so that the caller can stop it after an error. */
export const startDeployment = async (
  startedProcesses: DemoProcess[],
): Promise<DemoDeployment> => {
  const { process: platform, ready } = await startStandIn(
    startedProcesses,
    'platform',
    'platform',
  );
  const platformUrl = `http://${ready.address}`;
  const targets = await Promise.all(
    dataCenters.flatMap((dataCenter, index) => [
      ...Array.from({ length: enginesPerDataCenter }, (_, i) => {
        const engineNumber = index * enginesPerDataCenter + i + 1;
        return startTarget(
          startedProcesses,
          'engine',
          `style-${engineNumber}`,
          dataCenter,
        );
      }),
      startTarget(
        startedProcesses,
        'service',
        `guide-${index + 1}`,
        dataCenter,
      ),
    ]),
  );
  const daemons = await Promise.all(
    dataCenters.map((dataCenter, index) =>
      startDaemon(
        startedProcesses,
        `entry-${index + 1}`,
        dataCenter,
        platformUrl,
      ),
    ),
  );
  const members = [...targets, ...daemons].map(({ member }) => member);
  await postFleetMembers(platformUrl, members);
  return {
    platform,
    platformUrl,
    targets,
    daemons: daemons.map(({ daemon }) => daemon),
  };
};
