/** The fake targets of a run, which register, drain, crash and are replaced. */
import { FakeTarget, TargetRecords } from '@medlarlever/platform/stand-ins';
import type { EngineRole, FakeStore } from '@medlarlever/platform/stand-ins';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import type { TargetDeparture } from './run-record.js';

/** Number of requests that a target serves at the same time. */
const slotsPerTarget = 16;

/** Software versions of targets, which serve side by side. */
const softwareVersions: readonly string[] = ['v1', 'v2'];

/** Time until a target that ended because of a prompt is replaced. */
const crashDownMs = 1_500;

/** Heartbeat interval of a target. */
const heartbeatIntervalMs = 1_200;
/** Missed heartbeats after which the row of a target is removed. */
const missedHeartbeatLimit = 3;

/**
 * Milliseconds after its announcement during which a leaving target may receive
 * requests.
 */
export const targetDrainMs = 3_000;

const targetTableName = 'servers';

/**
 * The store that lists the targets, and the instances, which reach the targets
 * through proxies.
 */
export interface TargetFleetOptions {
  readonly store: FakeStore;
  readonly random: SeededRandom;
  readonly instances: readonly InstanceProcess[];
}

/** Starts, drains and crashes targets, and keeps their rows in the store. */
export class TargetFleet {
  readonly records = new TargetRecords();
  readonly departures: TargetDeparture[] = [];
  readonly #runningTargets = new Map<string, FakeTarget>();
  #startedCount = 0;

  constructor(private readonly options: TargetFleetOptions) {}

  listTargets(): FakeTarget[] {
    return [...this.#runningTargets.values()];
  }

  /**
   * Returns the ready targets whose service and role another ready target has
   * as well.
   */
  listRedundantTargets(): FakeTarget[] {
    const readyTargets = this.listTargets().filter(
      ({ state }) => state === 'ready',
    );
    return readyTargets.filter(
      ({ service, role }) =>
        readyTargets.filter(
          other => other.service === service && other.role === role,
        ).length > 1,
    );
  }

  /** Counts the decode engines of the software version that are not leaving. */
  countServing(softwareVersion: string): number {
    return this.listTargets().filter(
      target =>
        target.role === 'decode' &&
        target.state === 'ready' &&
        !target.announcesLeaving &&
        target.softwareVersion === softwareVersion,
    ).length;
  }

  /**
   * Starts a target, adds a proxy to it for each instance and registers it. The
   * version of its software is drawn at random if it is not given.
   */
  async addTarget(
    service: string,
    role?: EngineRole,
    softwareVersion = this.options.random.pickItem(softwareVersions),
  ): Promise<FakeTarget> {
    const { store, random, instances } = this.options;
    this.#startedCount += 1;
    const target: FakeTarget = await FakeTarget.start({
      id: `i-${this.#startedCount}`,
      service,
      dataCenter: 'a',
      softwareVersion,
      slots: slotsPerTarget,
      role,
      records: this.records,
      random: random.nextFraction,
      onChange: () => {
        this.#registerTarget(target);
      },
    });
    target.onCrash = () => {
      void this.#replaceCrashedTarget(target, crashDownMs);
    };
    await Promise.all(
      instances.map(({ targetProxies }) =>
        targetProxies.addProxy(target.address),
      ),
    );
    this.#runningTargets.set(target.id, target);
    store.putRow(targetTableName, target.id, target.registration);
    return target;
  }

  /**
   * Ends a target as planned: it announces its departure, serves for a while
   * and stops.
   */
  async drainTarget(target: FakeTarget): Promise<void> {
    target.state = 'draining';
    target.announcesLeaving = true;
    this.#registerTarget(target);
    const atMs = performance.now();
    this.departures.push({ target: target.id, atMs });
    await this.#sleep(targetDrainMs * 2);
    this.#runningTargets.delete(target.id);
    this.options.store.removeRow(targetTableName, target.id);
    await target.stop();
  }

  /**
   * Ends a target that says in its responses alone that it leaves. Its registration
   * is removed only when it stops.
   */
  async leaveByResponses(target: FakeTarget): Promise<void> {
    target.announcesLeaving = true;
    await this.#sleep(targetDrainMs * 3);
    this.#runningTargets.delete(target.id);
    this.options.store.removeRow(targetTableName, target.id);
    await target.stop();
  }

  /**
   * Stops a target without notice, adds a replacement after `downMs` milliseconds
   * and removes the row after the missed heartbeats.
   */
  async crashTarget(target: FakeTarget, downMs: number): Promise<void> {
    await target.stop();
    await this.#replaceCrashedTarget(target, downMs);
  }

  async #replaceCrashedTarget(
    target: FakeTarget,
    downMs: number,
  ): Promise<void> {
    const { service, role, id, softwareVersion } = target;
    this.#runningTargets.delete(id);
    // Without a proxy the address refuses connections, as that of the target does.
    await Promise.all(
      this.options.instances.map(({ targetProxies }) =>
        targetProxies.removeProxy(target.address),
      ),
    );
    await this.#sleep(downMs);
    await this.addTarget(service, role, softwareVersion);
    await this.#sleep(
      Math.max(0, heartbeatIntervalMs * missedHeartbeatLimit - downMs),
    );
    this.options.store.removeRow(targetTableName, id);
  }

  /**
   * Writes the rows of the running targets again, after a restore of the store, and
   * removes those of the others when their heartbeats have been missed.
   */
  async writeLostRows(): Promise<void> {
    for (const target of this.listTargets()) this.#registerTarget(target);
    await this.#sleep(heartbeatIntervalMs * missedHeartbeatLimit);
    const { store } = this.options;
    for (const key of store.listKeys(targetTableName)) {
      if (!this.#runningTargets.has(key)) store.removeRow(targetTableName, key);
    }
  }

  /** Stops all running targets. */
  async stop(): Promise<void> {
    await Promise.all(this.listTargets().map(target => target.stop()));
  }

  #registerTarget(target: FakeTarget): void {
    if (!this.#runningTargets.has(target.id)) return;
    this.options.store.putRow(targetTableName, target.id, target.registration);
  }

  #sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }
}
