/** One daemon as a process of its own, with its links and its log lines. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  FakeStore,
  createInstanceSettingsFile,
  allocatePort,
  readinessPath,
  settingsPathVariable,
} from '@medlarlever/platform/stand-ins';
import type { FixtureAddresses } from '@medlarlever/platform/stand-ins';
import { request } from 'undici';

import { FaultProxy } from '../network/fault-proxy.js';
import { ProxySet } from '../network/proxy-set.js';

/** How the process ended; the signal is the one that ended it. */
export interface InstanceExit {
  readonly instance: string;
  readonly atMs: number;
  readonly code: number | null;
  readonly signal: string | null;
  /** The signal that the soak had sent to end it. */
  readonly asked: string | undefined;
  readonly askedAtMs: number | undefined;
}

/** Signals that stop and continue a process, and that step its clock. */
export type FaultSignal = 'SIGSTOP' | 'SIGCONT' | 'SIGUSR2';

export interface InstanceOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly folder: string;
  /** The store whose rows it sees. */
  readonly store: FakeStore;
  readonly graceS: number;
  readonly retryAllowance: number;
}

/** The bundle that is deployed. */
const daemonBundlePath = fileURLToPath(
  new URL('../../../../target/medlarleverd.cjs', import.meta.url),
);
const clockStepModulePath = fileURLToPath(
  new URL('clock-step.js', import.meta.url),
);
const readyPollIntervalMs = 100;

/** Long enough for a store that is away and a busy machine. */
const readyTimeoutMs = 40_000;

export class InstanceProcess {
  readonly logLines: string[] = [];
  readonly exits: InstanceExit[] = [];
  /** Counts starts, so that requests name the life that took them. */
  startCount = 0;
  #child: ChildProcess | undefined;
  #sentEndSignal: { signal: string; atMs: number } | undefined;
  #reloadCount = 0;

  private constructor(
    private readonly options: InstanceOptions,
    private readonly ports: FixtureAddresses,
    /** Its view of the store, with moods of its own. */
    readonly store: FakeStore,
    readonly storeProxy: FaultProxy,
    readonly callerProxy: FaultProxy,
    readonly targetProxies: ProxySet,
  ) {}

  static async create(options: InstanceOptions): Promise<InstanceProcess> {
    const targetLinks = new ProxySet();
    const store = await FakeStore.start({
      sharedWith: options.store,
      rewriteValue: text => targetLinks.rewriteAddresses(text),
    });
    const storeLink = await FaultProxy.start(store.address);
    const ports = {
      callerPort: await allocatePort(),
      readinessPort: await allocatePort(),
      peerPort: await allocatePort(),
      storeAddress: storeLink.address,
    };
    const callerLink = await FaultProxy.start(`127.0.0.1:${ports.callerPort}`);
    return new InstanceProcess(
      options,
      ports,
      store,
      storeLink,
      callerLink,
      targetLinks,
    );
  }

  get name(): string {
    return this.options.name;
  }

  /** Address at which callers reach it, harmed or not. */
  get address(): string {
    return this.callerProxy.address;
  }

  async start(): Promise<void> {
    const file = await this.#writeSettings();
    const child = spawn(
      process.execPath,
      ['--import', clockStepModulePath, daemonBundlePath],
      {
        env: { ...process.env, [settingsPathVariable]: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.startCount += 1;
    this.#sentEndSignal = undefined;
    this.#child = child;
    child.stdout.on('data', chunk => {
      this.#appendLog(chunk);
    });
    child.stderr.on('data', chunk => {
      this.#appendLog(chunk);
    });
    child.once('exit', (code, signal) => {
      this.#recordExit(code, signal);
    });
  }

  /** Sends the signal and waits for the end. */
  async endProcess(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    this.#sentEndSignal = { signal, atMs: performance.now() };
    const exit = once(child, 'exit');
    child.kill(signal);
    await exit;
  }

  sendSignal(signal: FaultSignal): void {
    this.#child?.kill(signal);
  }

  /** Changes the settings file and says so. */
  async reloadSettings(): Promise<void> {
    this.#reloadCount += 1;
    await this.#writeSettings();
    this.#child?.kill('SIGHUP');
  }

  async isReady(): Promise<boolean> {
    const url = `http://127.0.0.1:${this.ports.readinessPort}${readinessPath}`;
    try {
      const answer = await request(url);
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** False when it is not ready after a long time. */
  async waitUntilReady(signal: AbortSignal): Promise<boolean> {
    const untilMs = performance.now() + readyTimeoutMs;
    while (!signal.aborted && performance.now() < untilMs) {
      if (await this.isReady()) return true;
      await new Promise(resolve => setTimeout(resolve, readyPollIntervalMs));
    }
    return signal.aborted;
  }

  async stop(): Promise<void> {
    this.sendSignal('SIGCONT');
    await this.endProcess('SIGKILL');
    await this.store.stop();
    await this.targetProxies.stop();
    await this.storeProxy.stop();
    await this.callerProxy.stop();
  }

  async #writeSettings(): Promise<string> {
    const { name, folder } = this.options;
    const contact = `127.0.0.1:${this.#reloadCount + 1}`;
    const settings = createInstanceSettingsFile(
      { ...this.options, seedAddress: contact },
      this.ports,
    );
    const file = join(folder, `${name}.json`);
    await writeFile(file, JSON.stringify(settings));
    return file;
  }

  #appendLog(chunk: unknown): void {
    this.logLines.push(...String(chunk).trimEnd().split('\n'));
  }

  #recordExit(code: number | null, signal: string | null): void {
    this.#child = undefined;
    this.exits.push({
      instance: this.name,
      atMs: performance.now(),
      code,
      signal,
      asked: this.#sentEndSignal?.signal,
      askedAtMs: this.#sentEndSignal?.atMs,
    });
  }
}
