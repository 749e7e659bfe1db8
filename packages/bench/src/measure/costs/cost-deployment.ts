/**
 * Instances of the built daemon before a fake store and plain targets. The instances
 * have addresses of their own on the loopback network, since all of a deployment use
 * the same ports.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { sleep } from '@medlarlever/core';
import {
  FakeStore,
  createHostSettingsFile,
  createServiceRegistration,
  createTwoServiceConfiguration,
  readinessPath,
  settingsPathVariable,
  startInstantTarget,
} from '@medlarlever/platform/stand-ins';
import type { InstantTarget } from '@medlarlever/platform/stand-ins';
import { request } from 'undici';

import { readProcessUsage } from './process-usage.js';
import type { ProcessUsage } from './process-usage.js';

/** The bundle that is deployed, and the same program as separate modules. */
const bundlePath = fileURLToPath(
  new URL('../../../../../target/medlarleverd.cjs', import.meta.url),
);
const modulesPath = fileURLToPath(
  new URL('../../../../../platform/dist/main.js', import.meta.url),
);
/** Runtime flags of the daemon, as in `deploy/system.toml`. */
const daemonFlags = ['--max-old-space-size=160'];

const ports = { callerPort: 14_000, readinessPort: 14_001, peerPort: 14_002 };
const dataCenters = ['a', 'b', 'c'] as const;
const seedHosts = ['127.0.1.1', '127.0.1.2', '127.0.1.3'];
const targetsPerService = 6;
const startsAtOnce = 4;
const readyPollIntervalMs = 20;
const readyTimeoutMs = 60_000;

/** One running daemon. */
export interface CostInstance {
  readonly callerUrl: string;
  readonly readinessUrl: string;
  readonly child: ChildProcess;
  readUsage(): ProcessUsage;
}

/** Options of {@link CostDeployment.start}. */
export interface CostDeploymentOptions {
  readonly instanceCount: number;
  /** Folder for processor profiles of the instances; none are made without it. */
  readonly profileFolder?: string;
}

const waitUntilReady = async ({ readinessUrl }: CostInstance) => {
  const deadlineMs = performance.now() + readyTimeoutMs;
  while (performance.now() < deadlineMs) {
    const status = await request(readinessUrl).then(
      async response => {
        await response.body.dump();
        return response.statusCode;
      },
      () => 0,
    );
    if (status === 200) return;
    await sleep(readyPollIntervalMs);
  }
  throw new Error(`the instance at ${readinessUrl} does not become ready`);
};

/** Runs instances, the store and the targets. */
export class CostDeployment {
  readonly instances: CostInstance[] = [];

  private constructor(
    private readonly options: CostDeploymentOptions,
    private readonly folder: string,
    readonly store: FakeStore,
    private readonly targets: readonly InstantTarget[],
  ) {}

  /** Starts everything; resolves when all instances are ready. */
  static async start(options: CostDeploymentOptions): Promise<CostDeployment> {
    const folder = await mkdtemp(join(tmpdir(), 'costs-'));
    const store = await FakeStore.start();
    store.putRow('op', 'config', createTwoServiceConfiguration());
    const targets: InstantTarget[] = [];
    for (const service of ['api', 'lm'] as const) {
      for (let i = 0; i < targetsPerService; i += 1) {
        const target = await startInstantTarget();
        targets.push(target);
        const dataCenter = dataCenters[i % dataCenters.length] ?? '';
        store.putRow(
          'servers',
          `${service}-${i}`,
          createServiceRegistration(target.address, service, dataCenter),
        );
      }
    }
    const deployment = new CostDeployment(options, folder, store, targets);
    for (let i = 0; i < options.instanceCount; i += 1) {
      deployment.instances.push(await deployment.#startInstance(i));
      // Starts at once would take the processors from each other.
      const earlier = deployment.instances[i - startsAtOnce];
      if (earlier !== undefined) await waitUntilReady(earlier);
    }
    await Promise.all(deployment.instances.map(waitUntilReady));
    return deployment;
  }

  /** Ends the processes that this deployment started. */
  async stop(): Promise<void> {
    const signal =
      this.options.profileFolder === undefined ? 'SIGKILL' : 'SIGTERM';
    await Promise.all(
      this.instances.map(async ({ child }) => {
        const exited = once(child, 'exit');
        child.kill(signal);
        await exited;
      }),
    );
    await Promise.all(this.targets.map(target => target.stop()));
    await this.store.stop();
    await rm(this.folder, { recursive: true });
  }

  async #startInstance(index: number): Promise<CostInstance> {
    const { profileFolder } = this.options;
    const host = `127.0.1.${index + 1}`;
    const settings = createHostSettingsFile(
      {
        name: `edge-${String(index).padStart(3, '0')}`,
        dataCenter: dataCenters[index % dataCenters.length] ?? '',
        host,
        seedHosts,
      },
      { ...ports, storeAddress: this.store.address },
    );
    const file = join(this.folder, `${index}.json`);
    await writeFile(file, JSON.stringify(settings));
    const program =
      profileFolder === undefined
        ? [bundlePath]
        : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`, modulesPath];
    const child = spawn(process.execPath, [...daemonFlags, ...program], {
      env: { ...process.env, [settingsPathVariable]: file },
      stdio: 'ignore',
    });
    process.once('exit', () => child.kill('SIGKILL'));
    const { pid } = child;
    if (pid === undefined) throw new Error('the daemon was not started');
    return {
      callerUrl: `http://${host}:${ports.callerPort}`,
      readinessUrl: `http://${host}:${ports.readinessPort}${readinessPath}`,
      child,
      readUsage: () => readProcessUsage(pid),
    };
  }
}
