/** `medlarleverd` as a process with limits of its own, beside servers of the test. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { allocatePort, waitUntil } from '@medlarlever/platform/stand-ins';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import {
  applyTemplate,
  hashKey,
  operatorKey,
  startTestServers,
} from '../daemon/deployment.js';
import { resolveProgramPath } from '../demo/demo-process.js';

/** Limits of the process. */
export interface DaemonLimits {
  /** Heap of the runtime, in MB. */
  readonly heapMegabytes: number;
  /** Memory for bodies that are being read, in bytes. */
  readonly maxBufferedBytes: number;
  /** Open connections of all interfaces together. */
  readonly maxConnections: number;
}

/** A started daemon. */
export interface LimitedDaemon {
  readonly child: ChildProcess;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
}

type DaemonPorts = Omit<LimitedDaemon, 'child'>;

const formatSettings = (
  ports: DaemonPorts,
  platformUrl: string,
  limits: DaemonLimits,
): string => `
[instance]
name = "entry-1"
data_center = "dc-1"
deployment = "test"

[listen]
caller = "127.0.0.1:${ports.callerPort}"
operator = "127.0.0.1:${ports.operatorPort}"
peer = "127.0.0.1:${ports.peerPort}"

[platform]
table_url = "${platformUrl}"
object_url = "${platformUrl}"
fleet_url = "${platformUrl}/fleet"

[peers]
secret = "a secret of the test"

[[operators]]
name = "ops"
key_hash = "${hashKey(operatorKey)}"

[streams]
secret = "a secret of the test"

[roles]
policy = "mixed"

[requests]
max_buffered_bytes = ${limits.maxBufferedBytes}

[connections]
max = ${limits.maxConnections}
`;

/** Starts the process with its template in force; the teardown of the test ends it. */
export const startLimitedDaemon = async (
  t: ExecutionContext,
  limits: DaemonLimits,
): Promise<LimitedDaemon> => {
  const { platformUrl } = await startTestServers(t);
  const ports = {
    callerPort: await allocatePort(),
    operatorPort: await allocatePort(),
    peerPort: await allocatePort(),
  };
  const directory = await mkdtemp(join(tmpdir(), 'daemon-'));
  const settingsPath = join(directory, 'settings.toml');
  await writeFile(settingsPath, formatSettings(ports, platformUrl, limits));
  const child = spawn(
    process.execPath,
    [
      `--max-old-space-size=${limits.heapMegabytes}`,
      resolveProgramPath('daemon/bin/medlarleverd.js'),
      settingsPath,
    ],
    { stdio: ['ignore', 'ignore', 'inherit'] },
  );
  t.teardown(async () => {
    child.kill('SIGKILL');
    await rm(directory, { recursive: true });
  });
  await waitUntilListening(ports.operatorPort);
  await applyTemplate(`127.0.0.1:${ports.operatorPort}`);
  await waitUntilListening(ports.callerPort);
  return { child, ...ports };
};

const waitUntilListening = (port: number): Promise<void> =>
  waitUntil(async () => {
    try {
      const { body } = await request(`http://127.0.0.1:${port}/`);
      await body.dump();
      return true;
    } catch {
      return false;
    }
  });
