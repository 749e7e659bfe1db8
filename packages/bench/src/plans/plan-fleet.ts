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

import { seededRandom } from '../shared/seeded-random.js';
import { InstanceTable } from '../operations/instance-table.js';

const dataCenter = 'dc-1';

/** Hands out the engines that the test made. */
class GivenTargets extends TargetFactory {
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

const recordOf = (name: string): InstanceRecord => ({
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
  readonly planner: PlanManager;
  readonly runner: PlanRunner;
  readonly store: PlanStore;
  /** Requests of this instance that run, by target. */
  readonly running = new Map<string, number>();
  readonly #closed: ClosedTargets;
  readonly #mesh: PeerMesh;
  readonly #watcher: FleetWatcher;
  readonly #registry: InstanceRegistry;

  constructor(name: string, fleet: PlanFleet, seed: number) {
    const random = seededRandom(seed);
    const { log } = this;
    const { network, list } = fleet;
    const table = new InstanceTable(fleet.table);
    this.table = table;
    this.record = recordOf(name);
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
      factory: new GivenTargets(fleet.engines),
      onLeavingChange: () => undefined,
    });
    this.store = new PlanStore({ table, random });
    this.planner = new PlanManager({
      store: this.store,
      directory: this.directory,
    });
    this.#closed = new ClosedTargets({
      store: this.store,
      directory: this.directory,
      peers: this.#mesh,
      countRunning: target => this.running.get(target) ?? 0,
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
    this.runner = new PlanRunner({
      dataCenter,
      store: this.store,
      closer: new TargetCloser({
        registry: this.#registry,
        closedTargets: this.#closed,
        getPeer: peer => this.#mesh.getPeer(peer),
      }),
      directory: this.directory,
      acquireLease: () => lease.acquireLease(),
      advanceCommand: (plan, action) => carrier.advanceCommand(plan, action),
      log,
      random,
    });
    this.#attach(network);
  }

  /** Runs everything but the plan runner. */
  follow(): void {
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
    void this.#closed.refreshUntilStopped();
  }

  isClosed(target: string): boolean {
    return this.directory
      .findTarget(target)
      .map(({ isLeaving: leaving }) => leaving)
      .orDefault(false);
  }

  stop(): void {
    this.runner.stop();
    this.#closed.stop();
    this.#watcher.stop();
    void this.#mesh.stop();
  }

  #attach(network: MemoryNetwork): void {
    const kernel = new Kernel();
    this.#mesh.registerMethods(kernel);
    for (const [method, handler] of this.#closed.peerMethods()) {
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
  readonly list: MemoryFleetList;
  readonly instances: readonly PlanInstance[];

  constructor(names: readonly string[]) {
    this.list = new MemoryFleetList([
      ...[...this.engines.values()].map(engine => memberOf(engine)),
      ...names.map(name => entryOf(name)),
    ]);
    this.instances = names.map(
      (name, index) => new PlanInstance(name, this, index + 1),
    );
    for (const instance of this.instances) instance.follow();
  }

  at(index: number): PlanInstance {
    const instance = this.instances[index];
    if (instance === undefined) throw new Error(`no instance ${index}`);
    return instance;
  }

  engine(name: string): FakeEngine {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new Error(`no engine "${name}"`);
    return engine;
  }

  /** Cuts an instance off from every other, both ways. */
  isolate(index: number): void {
    const { address } = this.at(index).record;
    for (const { record } of this.instances) {
      this.network.cutLink(address, record.address);
      this.network.cutLink(record.address, address);
    }
  }

  stop(): void {
    for (const instance of this.instances) instance.stop();
  }
}

const memberOf = (engine: FakeEngine): FleetMember => ({
  name: engine.name,
  kind: 'engine',
  dataCenter,
  incarnation: engine.incarnation,
  address: engine.address,
  state: 'live',
});

const entryOf = (name: string): FleetMember => ({
  name,
  kind: 'entry',
  dataCenter,
  incarnation: `${name}#1`,
  address: `${name}:82`,
  state: 'live',
});
