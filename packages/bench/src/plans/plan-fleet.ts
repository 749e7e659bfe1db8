/** In-process instances that carry planned changes on, and their faults. */
import {
  ClosedTargets,
  TargetCloser,
  FleetTargetDirectory,
  FleetWatcher,
  InstanceRegistry,
  Kernel,
  LeaseManager,
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

/** Hands out the engines that the test made. */
class PresetTargetFactory extends TargetFactory {
  constructor(readonly engines: ReadonlyMap<string, FakeEngine>) {
    super();
  }

  override createEngine({ name }: FleetMember): Engine {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new Error(`no engine "${name}"`);
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

/** One entry instance with what planned changes need. */
export class PlanInstance {
  readonly log = new MemoryLog();
  /** Paused, the instance gets no answer from the platform. */
  readonly table: InstanceTable;
  readonly record: InstanceRecord;
  readonly directory: FleetTargetDirectory;
  readonly planManager: PlanManager;
  readonly planRunner: PlanRunner;
  readonly planStore: PlanStore;
  /** Requests of this instance that run, by target. */
  readonly runningCounts = new Map<string, number>();
  readonly #closedTargets: ClosedTargets;
  readonly #mesh: PeerMesh;
  readonly #watcher: FleetWatcher;
  readonly #registry: InstanceRegistry;

  constructor(name: string, fleet: PlanFleet, seed: number) {
    const random = createSeededRandom(seed);
    const { log } = this;
    const { network, fleetList: list } = fleet;
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
    this.#watcher = new FleetWatcher({ fleetList: list, log, random });
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
    const leases = new LeaseManager({ table, self, random, log });
    const orders = new CommandCoordinator({
      table,
      fleet: list,
      self,
      findEngine: target => Maybe.fromNullable(fleet.engines.get(target)),
      checksFencing: () => true,
      random,
      log,
    });
    const carrier = new PlanCommandRunner({ leases, commands: orders });
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
      advanceCommand: (plan, action) => carrier.advanceCommand(plan, action),
      log,
      random,
    });
    this.#attachToNetwork(network);
  }

  /** Runs everything but the plan runner. */
  startBackgroundTasks(): void {
    this.#watcher.onChange(members => {
      this.directory.updateMembers(members);
      for (const view of this.#registry.listInstances()) {
        const { name, incarnation } = view;
        if (this.#watcher.isGone(incarnation)) {
          this.#registry.removeIncarnation(name, incarnation);
        }
      }
    });
    void this.#watcher.pollUntilStopped();
    void this.#mesh.maintainUntilStopped();
    void this.#closedTargets.refreshUntilStopped();
  }

  isTargetClosed(target: string): boolean {
    return this.directory
      .findTarget(target)
      .map(({ isLeaving: leaving }) => leaving)
      .orDefault(false);
  }

  stopBackgroundTasks(): void {
    this.planRunner.stop();
    this.#closedTargets.stop();
    this.#watcher.stop();
    void this.#mesh.stop();
  }

  #attachToNetwork(network: MemoryNetwork): void {
    const kernel = new Kernel();
    this.#mesh.registerMethods(kernel);
    for (const [method, handler] of this.#closedTargets.peerMethods()) {
      kernel.registerPeerMethod(method, handler);
    }
    network.attachPeer(this.record.address, kernel.peerMethods);
  }
}

/** Two engines of one data centre behind some instances. */
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
    if (instance === undefined) throw new Error(`no instance ${index}`);
    return instance;
  }

  getEngine(name: string): FakeEngine {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new Error(`no engine "${name}"`);
    return engine;
  }

  /** Cuts an instance off from every other, both ways. */
  isolateInstance(index: number): void {
    const { address } = this.getInstance(index).record;
    for (const { record } of this.instances) {
      this.network.cutLink(address, record.address);
      this.network.cutLink(record.address, address);
    }
  }

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
