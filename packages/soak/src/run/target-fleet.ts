/** The targets of a run: they register, leave, crash and come back. */
import { FakeTarget, TargetRecords } from '@medlarlever/platform/stand-ins';
import type { EngineRole, FakeStore } from '@medlarlever/platform/stand-ins';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import type { TargetDeparture } from './run-record.js';

const slotsPerTarget = 16;

/** Time between heartbeats; a silent target is removed after three. */
const heartbeatIntervalMs = 1_200;
const missedHeartbeatLimit = 3;

/** How long a leaving target goes on serving. */
export const targetDrainMs = 3_000;

const targetTableName = 'servers';

export interface TargetFleetOptions {
  readonly store: FakeStore;
  readonly random: SeededRandom;
  readonly instances: readonly InstanceProcess[];
}

export class TargetFleet {
  readonly records = new TargetRecords();
  readonly departures: TargetDeparture[] = [];
  readonly #runningTargets = new Map<string, FakeTarget>();
  #startedCount = 0;

  constructor(private readonly options: TargetFleetOptions) {}

  listTargets(): FakeTarget[] {
    return [...this.#runningTargets.values()];
  }

  /** Targets that neither leave nor are the last of their kind. */
  listRedundantTargets(): FakeTarget[] {
    const ready = this.listTargets().filter(({ state }) => state === 'ready');
    return ready.filter(
      ({ service, role }) =>
        ready.filter(other => other.service === service && other.role === role)
          .length > 1,
    );
  }

  /** Starts and registers a target. */
  async addTarget(service: string, role?: EngineRole): Promise<FakeTarget> {
    const { store, random, instances } = this.options;
    this.#startedCount += 1;
    const runner: FakeTarget = await FakeTarget.start({
      id: `i-${this.#startedCount}`,
      service,
      dataCenter: 'a',
      slots: slotsPerTarget,
      role,
      records: this.records,
      random: random.nextFraction,
      onChange: () => {
        this.#registerTarget(runner);
      },
    });
    await Promise.all(
      instances.map(({ targetProxies: targetLinks }) =>
        targetLinks.addProxy(runner.address),
      ),
    );
    this.#runningTargets.set(runner.id, runner);
    store.putRow(targetTableName, runner.id, runner.registration);
    return runner;
  }

  /** A planned end: the target says so, serves on for a while and ends. */
  async drainTarget(runner: FakeTarget): Promise<void> {
    runner.state = 'draining';
    this.#registerTarget(runner);
    const atMs = performance.now();
    this.departures.push({ target: runner.id, atMs });
    await this.#sleep(targetDrainMs * 2);
    this.#runningTargets.delete(runner.id);
    this.options.store.removeRow(targetTableName, runner.id);
    await runner.stop();
  }

  /** Ends at once; the row lapses, and another target takes the place. */
  async crashTarget(runner: FakeTarget, downMs: number): Promise<void> {
    const { service, role, id } = runner;
    this.#runningTargets.delete(id);
    await runner.stop();
    await this.#sleep(downMs);
    await this.addTarget(service, role);
    await this.#sleep(
      Math.max(0, heartbeatIntervalMs * missedHeartbeatLimit - downMs),
    );
    this.options.store.removeRow(targetTableName, id);
  }

  async stop(): Promise<void> {
    await Promise.all(this.listTargets().map(runner => runner.stop()));
  }

  #registerTarget(runner: FakeTarget): void {
    if (!this.#runningTargets.has(runner.id)) return;
    this.options.store.putRow(targetTableName, runner.id, runner.registration);
  }

  #sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }
}
