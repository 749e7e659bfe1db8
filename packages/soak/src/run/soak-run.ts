/** One run: processes, targets, callers and the faults among them. */
import { FakeStore } from '@medlarlever/platform/stand-ins';

import { InstanceProcess } from '../processes/instance-process.js';
import { Random } from '../shared/seeded-random.js';
import type { PlannedFault } from '../faults/fault-plan.js';

import { Caller } from './caller.js';
import { Disturbances } from './fault-log.js';
import type { Attempt, ConfigurationChange, Evidence } from './run-record.js';
import {
  configurationOf,
  graceS,
  movingServices,
  retryAllowance,
} from './configuration.js';
import { StallWatch } from './stall-detector.js';
import { TargetFleet } from './target-fleet.js';

export interface SceneOptions {
  readonly seed: number;
  readonly instances: number;
  readonly callers: number;
  /** Folder for the settings files. */
  readonly folder: string;
}

/** Time after the last fault in which everything is to serve again. */
export const recoveryMs = 15_000;

/** Calm that is watched after the recovery. */
const calmMs = 2_000;

const pass = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

export class Scene {
  readonly disturbances = new Disturbances();
  readonly instances: InstanceProcess[] = [];
  readonly targets: TargetFleet;
  readonly #stop = new AbortController();
  readonly #held = new Set<InstanceProcess>();
  readonly #attempts: Attempt[] = [];
  readonly #configurations: ConfigurationChange[] = [];
  readonly #neverReady: string[] = [];

  private constructor(
    private readonly options: SceneOptions,
    private readonly store: FakeStore,
  ) {
    this.targets = new TargetFleet({
      store,
      random: new Random(options.seed),
      instances: this.instances,
    });
  }

  /** Starts everything and waits until each instance is ready. */
  static async open(options: SceneOptions): Promise<Scene> {
    const scene = new Scene(options, await FakeStore.start());
    await scene.#open();
    return scene;
  }

  /** Aborts when the run is over. */
  get stopping(): AbortSignal {
    return this.#stop.signal;
  }

  /** Instances that no signal fault holds at present. */
  idleInstances(): InstanceProcess[] {
    return this.instances.filter(instance => !this.#held.has(instance));
  }

  /** Keeps other signal faults off the instance meanwhile. */
  async holding(
    instance: InstanceProcess,
    action: () => Promise<void>,
  ): Promise<void> {
    if (this.#held.has(instance)) return;
    this.#held.add(instance);
    try {
      await action();
    } finally {
      this.#held.delete(instance);
    }
  }

  /** Waits for a started instance; notes one that never gets ready. */
  async untilReady(instance: InstanceProcess): Promise<void> {
    const ready = await instance.untilReady(this.stopping);
    if (!ready) this.#neverReady.push(instance.name);
  }

  /** Sends the moving route to the other service. */
  moveRoute(): void {
    const version = (this.#configurations.at(-1)?.version ?? 0) + 1;
    const service = movingServices[version % movingServices.length] ?? '';
    this.store.putRow('op', 'config', configurationOf(version, service));
    const atMs = performance.now();
    this.#configurations.push({ version, service, atMs });
  }

  /** Plays the faults with callers, then waits for the recovery. */
  async play(plan: readonly PlannedFault[]): Promise<Evidence> {
    const { callers: count, seed } = this.options;
    const { instances } = this;
    const attempts = this.#attempts;
    const stalls = new StallWatch();
    const callers = Array.from({ length: count }, (_, i) => {
      const random = new Random(seed + i + 1);
      return new Caller({ instances, random, attempts });
    });
    const sending = callers.map(caller => caller.run(this.stopping));
    await Promise.all(plan.map(planned => this.#strike(planned)));
    const calmSinceMs = performance.now();
    await pass(recoveryMs + calmMs);
    this.#stop.abort();
    await Promise.all(sending);
    return this.#evidence(calmSinceMs, stalls.stop());
  }

  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.instances.map(instance => instance.stop()));
    await this.targets.stop();
    await this.store.stop();
  }

  async #open(): Promise<void> {
    for (let i = 1; i <= this.options.instances; i += 1) {
      const instance = await InstanceProcess.create({
        name: `instance-${i}`,
        dataCenter: 'a',
        folder: this.options.folder,
        store: this.store,
        graceS,
        retryAllowance,
      });
      this.instances.push(instance);
    }
    this.moveRoute();
    for (const service of ['api', 'api', ...movingServices]) {
      await this.targets.add(service);
    }
    for (const role of ['prefill', 'prefill', 'decode', 'decode'] as const) {
      await this.targets.add('lm', role);
    }
    await Promise.all(this.instances.map(instance => instance.start()));
    await Promise.all(
      this.instances.map(instance => this.untilReady(instance)),
    );
  }

  async #strike({ atMs, fault, random }: PlannedFault): Promise<void> {
    await pass(atMs);
    await fault.inject(this, random);
  }

  #evidence(calmSinceMs: number, longestStallMs: number): Evidence {
    const { arrivals, orders } = this.targets.records;
    return {
      attempts: this.#attempts,
      arrivals,
      orders,
      configurations: this.#configurations,
      leavings: this.targets.leavings,
      neverReady: this.#neverReady,
      exits: this.instances.flatMap(({ exits }) => exits),
      disturbances: this.disturbances,
      calmSinceMs,
      longestStallMs,
    };
  }
}
