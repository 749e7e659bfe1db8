/** The targets of a run: they register, leave, crash and come back. */
import { FakeTarget, TargetRecords } from '@medlarlever/platform/stand-ins';
import type { EngineRole, FakeStore } from '@medlarlever/platform/stand-ins';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { Random } from '../shared/seeded-random.js';

import type { Leaving } from './run-record.js';

const slots = 16;

/** Time between heartbeats; a silent target is removed after three. */
const heartbeatMs = 1_200;
const lapseBeats = 3;

/** How long a leaving target goes on serving. */
export const leavingMs = 3_000;

const table = 'servers';

export interface TargetFleetOptions {
  readonly store: FakeStore;
  readonly random: Random;
  readonly instances: readonly InstanceProcess[];
}

export class TargetFleet {
  readonly records = new TargetRecords();
  readonly leavings: Leaving[] = [];
  readonly #running = new Map<string, FakeTarget>();
  #count = 0;

  constructor(private readonly options: TargetFleetOptions) {}

  all(): FakeTarget[] {
    return [...this.#running.values()];
  }

  /** Targets that neither leave nor are the last of their kind. */
  spare(): FakeTarget[] {
    const ready = this.all().filter(({ state }) => state === 'ready');
    return ready.filter(
      ({ service, role }) =>
        ready.filter(other => other.service === service && other.role === role)
          .length > 1,
    );
  }

  /** Starts and registers a target. */
  async add(service: string, role?: EngineRole): Promise<FakeTarget> {
    const { store, random, instances } = this.options;
    this.#count += 1;
    const runner: FakeTarget = await FakeTarget.start({
      id: `i-${this.#count}`,
      service,
      dataCenter: 'a',
      slots,
      role,
      records: this.records,
      random: random.next,
      onChange: () => {
        this.#register(runner);
      },
    });
    await Promise.all(
      instances.map(({ targetLinks }) => targetLinks.add(runner.address)),
    );
    this.#running.set(runner.id, runner);
    store.putRow(table, runner.id, runner.registration);
    return runner;
  }

  /** A planned end: the target says so, serves on for a while and ends. */
  async leave(runner: FakeTarget): Promise<void> {
    runner.state = 'draining';
    this.#register(runner);
    const atMs = performance.now();
    this.leavings.push({ target: runner.id, atMs });
    await this.#pass(leavingMs * 2);
    this.#running.delete(runner.id);
    this.options.store.removeRow(table, runner.id);
    await runner.stop();
  }

  /** Ends at once; the row lapses, and another target takes the place. */
  async crash(runner: FakeTarget, downMs: number): Promise<void> {
    const { service, role, id } = runner;
    this.#running.delete(id);
    await runner.stop();
    await this.#pass(downMs);
    await this.add(service, role);
    await this.#pass(Math.max(0, heartbeatMs * lapseBeats - downMs));
    this.options.store.removeRow(table, id);
  }

  async stop(): Promise<void> {
    await Promise.all(this.all().map(runner => runner.stop()));
  }

  #register(runner: FakeTarget): void {
    if (!this.#running.has(runner.id)) return;
    this.options.store.putRow(table, runner.id, runner.registration);
  }

  #pass(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }
}
