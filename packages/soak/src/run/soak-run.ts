/**
 * One soak run: starts instances, targets and callers, and injects the planned
 * faults.
 */
import { FakeDutyInterface, FakeStore } from '@medlarlever/platform/stand-ins';
import type { StoreBackup } from '@medlarlever/platform/stand-ins';

import { FaultScene } from '../faults/fault-scene.js';
import { InstanceProcess } from '../processes/instance-process.js';
import { SeededRandom } from '../shared/seeded-random.js';
import type { PlannedFault } from '../faults/fault-plan.js';

import { Caller } from './caller.js';
import { CustomerKeys } from './customer-keys.js';
import { FaultLog } from './fault-log.js';
import type {
  Attempt,
  ConfigurationChange,
  CrashingPartPeriod,
  RunRecord,
  TargetCutPeriod,
} from './run-record.js';
import {
  createConfiguration,
  maxKeyDelayMs,
  shutdownGraceSeconds,
  movingServices,
  retryAllowance,
} from './configuration.js';
import { StallDetector } from './stall-detector.js';
import { TargetFleet } from './target-fleet.js';

/** Seed and size of a run. */
export interface SoakRunOptions {
  readonly seed: number;
  readonly instanceCount: number;
  readonly callerCount: number;
  /** Folder for the settings files. */
  readonly folder: string;
}

/**
 * Milliseconds after the last fault within which requests must be served again.
 */
export const recoveryMs = 15_000;

/**
 * Milliseconds after the recovery during which the run continues without
 * faults.
 */
const observationMs = 2_000;

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** A running soak; faults act on its instances, targets and configuration. */
export class SoakRun extends FaultScene {
  override readonly faultLog = new FaultLog();
  override readonly instances: InstanceProcess[] = [];
  override readonly targetFleet: TargetFleet;
  override readonly customerKeys = new CustomerKeys();
  readonly #stopController = new AbortController();
  readonly #reservedInstances = new Set<InstanceProcess>();
  readonly #attempts: Attempt[] = [];
  readonly #configurations: ConfigurationChange[] = [];
  readonly #unreadyInstances: string[] = [];
  readonly #crashingPartPeriods: CrashingPartPeriod[] = [];
  readonly #targetCuts: TargetCutPeriod[] = [];

  private constructor(
    private readonly options: SoakRunOptions,
    private readonly store: FakeStore,
    override readonly dutyInterface: FakeDutyInterface,
  ) {
    super();
    this.targetFleet = new TargetFleet({
      store,
      random: new SeededRandom(options.seed),
      instances: this.instances,
    });
  }

  /**
   * Starts the store, targets and instances, and waits until each instance is
   * ready.
   */
  static async start(options: SoakRunOptions): Promise<SoakRun> {
    const run = new SoakRun(
      options,
      await FakeStore.start(),
      await FakeDutyInterface.start(),
    );
    await run.#startAll();
    return run;
  }

  override get stopSignal(): AbortSignal {
    return this.#stopController.signal;
  }

  override listIdleInstances(): InstanceProcess[] {
    return this.instances.filter(
      instance => !this.#reservedInstances.has(instance),
    );
  }

  override async runWithReservedInstance(
    instance: InstanceProcess,
    action: () => Promise<void>,
  ): Promise<void> {
    if (this.#reservedInstances.has(instance)) return;
    this.#reservedInstances.add(instance);
    try {
      await action();
    } finally {
      this.#reservedInstances.delete(instance);
    }
  }

  override async waitUntilReady(instance: InstanceProcess): Promise<void> {
    const isReady = await instance.waitUntilReady(this.stopSignal);
    if (!isReady) this.#unreadyInstances.push(instance.name);
  }

  override switchMovingRoute(): void {
    const current = this.#configurations.at(-1)?.service;
    const other = movingServices.find(name => name !== current);
    this.#changeConfiguration(other ?? '');
  }

  override addKey(customer: string): void {
    this.customerKeys.addKey(customer);
    this.#changeConfiguration();
  }

  override withdrawKey(customer: string): void {
    this.customerKeys.withdrawOldest(customer);
    this.#changeConfiguration();
  }

  #changeConfiguration(
    service = this.#configurations.at(-1)?.service ?? '',
  ): void {
    const version = (this.#configurations.at(-1)?.version ?? 0) + 1;
    const atMs = performance.now();
    this.#configurations.push({ version, service, atMs });
    this.#writeConfiguration();
  }

  override get crashingPart(): string | undefined {
    return this.#crashingPartPeriods.find(({ toMs }) => toMs === Infinity)
      ?.part;
  }

  override startCrashingPart(): () => void {
    const part = `bad${this.#crashingPartPeriods.length}`;
    const fromMs = performance.now();
    const period = { part, fromMs, toMs: Infinity };
    this.#crashingPartPeriods.push(period);
    this.targetFleet.records.crashingParts.add(part);
    return () => {
      period.toMs = performance.now();
    };
  }

  override startTargetCut(instances: readonly string[]): () => void {
    const period = { instances, fromMs: performance.now(), toMs: Infinity };
    this.#targetCuts.push(period);
    return () => {
      period.toMs = performance.now();
    };
  }

  override createStoreBackup(): StoreBackup {
    return this.store.createBackup();
  }

  override restoreStore(backup: StoreBackup): void {
    this.store.restoreBackup(backup);
  }

  override writeLostRows(): Promise<void> {
    this.#writeConfiguration();
    return this.targetFleet.writeLostRows();
  }

  #writeConfiguration(): void {
    const newest = this.#configurations.at(-1);
    if (newest === undefined) return;
    const { version, service } = newest;
    const keys = this.customerKeys.listKeys();
    this.store.putRow(
      'op',
      'config',
      createConfiguration(version, service, keys),
    );
  }

  /**
   * Injects the faults while callers send requests, then waits for the
   * recovery.
   */
  async executePlan(plan: readonly PlannedFault[]): Promise<RunRecord> {
    const { callerCount, seed } = this.options;
    const { instances } = this;
    const attempts = this.#attempts;
    const stallDetector = new StallDetector();
    const callers = Array.from({ length: callerCount }, (_, i) => {
      const random = new SeededRandom(seed + i + 1);
      return new Caller({
        instances,
        random,
        attempts,
        pickKey: source => this.customerKeys.pickKey(source),
        countServing: version => this.targetFleet.countServing(version),
        getCrashingPart: () => this.crashingPart,
      });
    });
    const callerLoops = callers.map(caller =>
      caller.sendRequests(this.stopSignal),
    );
    await Promise.all(
      plan.map(plannedFault => this.#injectFault(plannedFault)),
    );
    const faultFreeSinceMs = performance.now();
    await sleep(recoveryMs + observationMs);
    this.#stopController.abort();
    await Promise.all(callerLoops);
    return this.#createRunRecord(faultFreeSinceMs, stallDetector.stop());
  }

  /** Stops the callers, instances, targets and the store. */
  async close(): Promise<void> {
    this.#stopController.abort();
    await Promise.all(this.instances.map(instance => instance.stop()));
    await this.targetFleet.stop();
    await this.store.stop();
    await this.dutyInterface.stop();
  }

  async #startAll(): Promise<void> {
    for (let i = 1; i <= this.options.instanceCount; i += 1) {
      const instance = await InstanceProcess.create({
        name: `instance-${i}`,
        dataCenter: 'a',
        folder: this.options.folder,
        store: this.store,
        dutyAddress: this.dutyInterface.address,
        graceS: shutdownGraceSeconds,
        maxKeyDelayMs,
        retryAllowance,
      });
      this.instances.push(instance);
    }
    this.switchMovingRoute();
    for (const service of ['api', 'api', ...movingServices]) {
      await this.targetFleet.addTarget(service);
    }
    for (const role of ['prefill', 'prefill'] as const) {
      await this.targetFleet.addTarget('lm', role);
    }
    for (const softwareVersion of ['v1', 'v1', 'v2', 'v2']) {
      await this.targetFleet.addTarget('lm', 'decode', softwareVersion);
    }
    await Promise.all(this.instances.map(instance => instance.start()));
    await Promise.all(
      this.instances.map(instance => this.waitUntilReady(instance)),
    );
  }

  async #injectFault({ atMs, fault, random }: PlannedFault): Promise<void> {
    await sleep(atMs);
    await fault.inject(this, random);
  }

  #createRunRecord(
    faultFreeSinceMs: number,
    longestStallMs: number,
  ): RunRecord {
    const { arrivals, orders, pauseRequests, limitPeriods, crashes } =
      this.targetFleet.records;
    return {
      attempts: this.#attempts,
      arrivals,
      orders,
      dutyCalls: this.dutyInterface.calls,
      pauseRequests,
      limitPeriods,
      crashes,
      crashingPartPeriods: this.#crashingPartPeriods,
      targetCuts: this.#targetCuts,
      configurations: this.#configurations,
      targetDepartures: this.targetFleet.departures,
      unreadyInstances: this.#unreadyInstances,
      exits: this.instances.flatMap(({ exits }) => exits),
      faultLog: this.faultLog,
      faultFreeSinceMs,
      longestStallMs,
    };
  }
}
