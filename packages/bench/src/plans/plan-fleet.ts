/** Fleet of in-process instances that execute maintenance plans, with faults of instances and links. */
import {
  ClosedTargets,
  TargetCloser,
  FleetTargetDirectory,
  FleetWatcher,
  InstanceRegistry,
  Kernel,
  Leases,
  MemoryLog,
  CommandCoordinator,
  PlanCommandRunner,
  PeerMesh,
  PlanLease,
  PlanRunner,
  PlanStore,
  PlanManager,
  TargetFactory,
} from '@medlarlever/core';
import type {
  FleetMember,
  InstanceRecord,
  Service,
  Engine,
} from '@medlarlever/core';
import {
  FakeEngine,
  MemoryFleetList,
  MemoryNetwork,
  MemoryTable,
} from '@medlarlever/stand-ins';
import { Maybe } from 'purify-ts';

import { createSeededRandom } from '../shared/seeded-random.js';
import { InstanceTable } from '../operations/instance-table.js';

const dataCenter = 'dc-1';

/** Target factory that returns the engines of the fleet by name. */
class PresetTargetFactory extends TargetFactory {
  constructor(readonly engines: ReadonlyMap<string, FakeEngine>) {
    super();
  }

  override createEngine({ name }: FleetMember): Engine {
    const engine = this.engines.get(name);
    if (engine === undefined)
      throw new Error(`the fleet has no engine "${name}"`);
    return engine;
  }

  override createService(): Service {
    throw new Error('the fleet has no services');
  }
}

const createInstanceRecord = (name: string): InstanceRecord => ({
  name,
  dataCenter,
  incarnation: `${name}#1`,
  address: `${name}:82`,
  state: 'live',
  revision: 0,
  startedAtMs: 1,
  version: 0,
});

/** One entry instance with the components that maintenance plans need. */
export class PlanInstance {
  readonly log = new MemoryLog();
  /** The table as this instance uses it; while paused, the instance gets no answers from the table. */
  readonly table: InstanceTable;
  readonly record: InstanceRecord;
  readonly directory: FleetTargetDirectory;
  readonly planManager: PlanManager;
  readonly planRunner: PlanRunner;
  readonly planStore: PlanStore;
  /** Number of running requests of this instance, by target name. */
  readonly runningCounts = new Map<string, number>();
  readonly #closedTargets: ClosedTargets;
  readonly #mesh: PeerMesh;
  readonly #watcher: FleetWatcher;
  readonly #registry: InstanceRegistry;

  constructor(name: string, fleet: PlanFleet, seed: number) {
    const random = createSeededRandom(seed);
    const { log } = this;
    const { network, fleetList } = fleet;
    const table = new InstanceTable(fleet.table);
    this.table = table;
    this.record = createInstanceRecord(name);
    this.#registry = new InstanceRegistry(this.record);
    this.#mesh = new PeerMesh({
      registry: this.#registry,
      log,
      random,
      listSeedAddresses: () => ['entry-1:82'],
      connectPeer: peer => network.connectPeer(this.record, peer),
    });
    this.#watcher = new FleetWatcher({ fleetList, log, random });
    this.directory = new FleetTargetDirectory({
      dataCenter,
      log,
      factory: new PresetTargetFactory(fleet.engines),
      onLeavingChange: () => undefined,
    });
    this.planStore = new PlanStore({ table, random });
    this.planManager = new PlanManager({
      store: this.planStore,
      directory: this.directory,
    });
    this.#closedTargets = new ClosedTargets({
      store: this.planStore,
      directory: this.directory,
      peers: this.#mesh,
      countRunning: target => this.runningCounts.get(target) ?? 0,
      log,
      random,
    });
    const self = { name, incarnation: this.record.incarnation };
    const leases = new Leases({ table, self, random, log });
    const commands = new CommandCoordinator({
      table,
      fleet: fleetList,
      self,
      findEngine: target => Maybe.fromNullable(fleet.engines.get(target)),
      checksFencing: () => true,
      random,
      log,
    });
    const commandRunner = new PlanCommandRunner({ leases, commands });
    const lease = new PlanLease({ leases, dataCenter });
    this.planRunner = new PlanRunner({
      dataCenter,
      store: this.planStore,
      closer: new TargetCloser({
        registry: this.#registry,
        closedTargets: this.#closedTargets,
        getPeer: peer => this.#mesh.getPeer(peer),
      }),
      directory: this.directory,
      acquireLease: () => lease.acquireLease(),
      advanceCommand: (plan, action) =>
        commandRunner.advanceCommand(plan, action),
      log,
      random,
    });
    this.#attachToNetwork(network);
  }

  /** Starts the background tasks except the plan runner. */
  startBackgroundTasks(): void {
    this.#watcher.onChange(members => {
      this.directory.updateMembers(members);
      for (const instance of this.#registry.listInstances()) {
        const { name, incarnation } = instance;
        if (this.#watcher.isGone(incarnation)) {
          this.#registry.removeIncarnation(name, incarnation);
        }
      }
    });
    void this.#watcher.pollUntilStopped();
    void this.#mesh.maintainUntilStopped();
    void this.#closedTargets.refreshUntilStopped();
  }

  /** Returns whether this instance sends no new requests to the target. */
  isTargetClosed(target: string): boolean {
    return this.directory
      .findTarget(target)
      .map(({ isLeaving }) => isLeaving)
      .orDefault(false);
  }

  /** Stops the plan runner and the background tasks. */
  stopBackgroundTasks(): void {
    this.planRunner.stop();
    this.#closedTargets.stop();
    this.#watcher.stop();
    void this.#mesh.stop();
  }

  #attachToNetwork(network: MemoryNetwork): void {
    const kernel = new Kernel();
    this.#mesh.registerMethods(kernel);
    for (const [method, handler] of this.#closedTargets.getPeerMethods()) {
      kernel.registerPeerMethod(method, handler);
    }
    network.attachPeer(this.record.address, kernel.peerMethods);
  }
}

/** Two engines and a number of entry instances in one data centre. */
export class PlanFleet {
  readonly table = new MemoryTable();
  readonly network = new MemoryNetwork();
  readonly engines = new Map(
    ['engine-1', 'engine-2'].map(name => [
      name,
      new FakeEngine({ name, dataCenter, roleChangeMs: 3_000 }),
    ]),
  );
  readonly fleetList: MemoryFleetList;
  readonly instances: readonly PlanInstance[];

  constructor(names: readonly string[]) {
    this.fleetList = new MemoryFleetList([
      ...[...this.engines.values()].map(engine => createEngineMember(engine)),
      ...names.map(name => createEntryMember(name)),
    ]);
    this.instances = names.map(
      (name, index) => new PlanInstance(name, this, index + 1),
    );
    for (const instance of this.instances) instance.startBackgroundTasks();
  }

  getInstance(index: number): PlanInstance {
    const instance = this.instances[index];
    if (instance === undefined)
      throw new Error(`the fleet has no instance with the index ${index}`);
    return instance;
  }

  getEngine(name: string): FakeEngine {
    const engine = this.engines.get(name);
    if (engine === undefined)
      throw new Error(`the fleet has no engine "${name}"`);
    return engine;
  }

  /** Cuts the links between an instance and every other instance in both directions. */
  isolateInstance(index: number): void {
    const { address } = this.getInstance(index).record;
    for (const { record } of this.instances) {
      this.network.cutLink(address, record.address);
      this.network.cutLink(record.address, address);
    }
  }

  /** Stops the plan runners and background tasks of all instances. */
  stopInstances(): void {
    for (const instance of this.instances) instance.stopBackgroundTasks();
  }
}

const createEngineMember = (engine: FakeEngine): FleetMember => ({
  name: engine.name,
  kind: 'engine',
  dataCenter,
  incarnation: engine.incarnation,
  address: engine.address,
  state: 'live',
});

const createEntryMember = (name: string): FleetMember => ({
  name,
  kind: 'entry',
  dataCenter,
  incarnation: `${name}#1`,
  address: `${name}:82`,
  state: 'live',
});
