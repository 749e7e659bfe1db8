/**
 * Runs one instance (daemon) as a process, with its proxies and its log lines.
 */
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

/**
 * The exit of a process; `signal` is the signal that ended it. Times are on the
 * monotonic clock.
 */
export interface InstanceExit {
  readonly instance: string;
  readonly atMs: number;
  readonly code: number | null;
  readonly signal: string | null;
  /**
   * The signal that the soak test sent to end the process; undefined for an
   * unexpected exit.
   */
  readonly asked: string | undefined;
  readonly askedAtMs: number | undefined;
}

/**
 * SIGSTOP and SIGCONT pause and resume a process; SIGUSR2 steps its wall clock.
 */
export type FaultSignal = 'SIGSTOP' | 'SIGCONT' | 'SIGUSR2';

/** Settings of an instance. */
export interface InstanceOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly folder: string;
  /** The shared store whose rows the instance sees. */
  readonly store: FakeStore;
  /** Address of the interface for duties. */
  readonly dutyAddress: string;
  readonly graceS: number;
  readonly retryAllowance: number;
  /** Longest time for which a withdrawn key may still be used. */
  readonly maxKeyDelayMs: number;
}

/** Path of the bundle that is deployed to production. */
const daemonBundlePath = fileURLToPath(
  new URL('../../../../target/medlarleverd.cjs', import.meta.url),
);
const clockStepModulePath = fileURLToPath(
  new URL('clock-step.js', import.meta.url),
);
/** Runtime flags of the daemon, as in `deploy/system.toml`. */
const daemonFlags = ['--max-old-space-size=160'];

const readyPollIntervalMs = 100;

/**
 * Maximum time from the start of an instance until it is ready; long enough for
 * a store outage on a busy machine.
 */
const readyTimeoutMs = 40_000;

/** One instance that can be started, signalled and stopped repeatedly. */
export class InstanceProcess {
  readonly logLines: string[] = [];
  readonly exits: InstanceExit[] = [];
  /**
   * Number of starts; requests record it to name the process lifetime that
   * received them.
   */
  startCount = 0;
  /** Time of the last start, on the monotonic clock. */
  startedAtMs = 0;
  #child: ChildProcess | undefined;
  #sentEndSignal: { signal: string; atMs: number } | undefined;
  #reloadCount = 0;

  private constructor(
    private readonly options: InstanceOptions,
    private readonly ports: FixtureAddresses,
    /**
     * The view of the store that this instance uses; its faults apply to this
     * instance only.
     */
    readonly store: FakeStore,
    readonly storeProxy: FaultProxy,
    readonly callerProxy: FaultProxy,
    readonly targetProxies: ProxySet,
  ) {}

  /**
   * Allocates ports, a store view and proxies, without starting the process.
   */
  static async create(options: InstanceOptions): Promise<InstanceProcess> {
    const targetProxies = new ProxySet();
    const store = await FakeStore.start({
      sharedWith: options.store,
      rewriteValue: text => targetProxies.rewriteAddresses(text),
    });
    const storeProxy = await FaultProxy.start(store.address);
    const ports = {
      callerPort: await allocatePort(),
      readinessPort: await allocatePort(),
      peerPort: await allocatePort(),
      storeAddress: storeProxy.address,
      dutyAddress: options.dutyAddress,
    };
    const callerProxy = await FaultProxy.start(`127.0.0.1:${ports.callerPort}`);
    return new InstanceProcess(
      options,
      ports,
      store,
      storeProxy,
      callerProxy,
      targetProxies,
    );
  }

  get name(): string {
    return this.options.name;
  }

  /** Address of the proxy through which callers reach the instance. */
  get address(): string {
    return this.callerProxy.address;
  }

  /**
   * Writes the settings file and starts the process, without waiting for
   * readiness.
   */
  async start(): Promise<void> {
    const file = await this.#writeSettings();
    const child = spawn(
      process.execPath,
      [...daemonFlags, '--import', clockStepModulePath, daemonBundlePath],
      {
        env: { ...process.env, [settingsPathVariable]: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.startCount += 1;
    this.startedAtMs = performance.now();
    this.#sentEndSignal = undefined;
    this.#child = child;
    const killAtExit = () => child.kill('SIGKILL');
    process.once('exit', killAtExit);
    child.once('exit', () => {
      process.off('exit', killAtExit);
    });
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

  /** Sends the signal and waits until the process exits. */
  async endProcess(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    this.#sentEndSignal = { signal, atMs: performance.now() };
    const exitEvent = once(child, 'exit');
    child.kill(signal);
    await exitEvent;
  }

  sendSignal(signal: FaultSignal): void {
    this.#child?.kill(signal);
  }

  /** Rewrites the settings file with another seed address and sends SIGHUP. */
  async reloadSettings(): Promise<void> {
    this.#reloadCount += 1;
    await this.#writeSettings();
    this.#child?.kill('SIGHUP');
  }

  /** Whether the readiness endpoint answers with status 200. */
  async isReady(): Promise<boolean> {
    const url = `http://127.0.0.1:${this.ports.readinessPort}${readinessPath}`;
    try {
      const response = await request(url);
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  /**
   * Polls readiness; returns false after `readyTimeoutMs`, true when ready or
   * aborted.
   */
  async waitUntilReady(signal: AbortSignal): Promise<boolean> {
    const deadlineMs = performance.now() + readyTimeoutMs;
    while (!signal.aborted && performance.now() < deadlineMs) {
      if (await this.isReady()) return true;
      await new Promise(resolve => setTimeout(resolve, readyPollIntervalMs));
    }
    return signal.aborted;
  }

  /** Kills the process and stops its store view and proxies. */
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
    const seedAddress = `127.0.0.1:${this.#reloadCount + 1}`;
    const isFirstStart = this.startCount === 0;
    const settings = createInstanceSettingsFile(
      { ...this.options, seedAddress, isFirstStart },
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
