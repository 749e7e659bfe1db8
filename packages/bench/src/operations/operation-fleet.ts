/** Entry instances, services and a table in this process, for faults. */
import {
  IdempotencyRateLimiter,
  Deadline,
  IdempotentExecutor,
  IdempotentDispatcher,
  MemoryLog,
  resolveEntitlement,
  ServiceRunner,
  ServiceTargets,
  TableQuarantine,
  templateSchema,
} from '@medlarlever/core';
import type {
  Entitlement,
  Failure,
  OperationResponse,
  OperationRequest,
  TemplateOperation,
} from '@medlarlever/core';
import {
  FakeService,
  MemoryNetwork,
  MemoryPeerGroup,
  MemoryTable,
} from '@medlarlever/stand-ins';
import type { Either } from 'purify-ts';

import { InstanceTable } from './instance-table.js';
import { ServiceDirectory } from './service-directory.js';
import type { ServicePool } from './service-directory.js';
import { createSeededRandom } from '../shared/seeded-random.js';

export interface OperationFleetOptions {
  readonly seed: number;
  readonly instanceCount?: number;
  /** Runners of each service. */
  readonly targetsPerService?: number;
  readonly services?: readonly string[];
  readonly claimsPerMinute?: number;
}

/** One entry instance with its parts. */
export interface OperationInstance {
  readonly name: string;
  readonly table: InstanceTable;
  readonly executor: IdempotentExecutor;
  readonly dispatcher: IdempotentDispatcher;
  readonly quarantine: TableQuarantine;
  readonly log: MemoryLog;
}

/** What a caller sends. */
export interface OperationCall {
  readonly service?: string;
  readonly operation?: 'book' | 'status';
  readonly key?: string;
  readonly body?: string;
  readonly customer?: string;
  readonly deadlineMs?: number;
}

const defaultDeadlineMs = 10_000;

export class OperationFleet {
  readonly table = new MemoryTable();
  readonly network = new MemoryNetwork();
  readonly servicePool: ServicePool;
  /** `instance#incarnation` of every confirmed-gone instance. */
  readonly goneIncarnations = new Set<string>();
  readonly random: () => number;
  readonly #instances: OperationInstance[] = [];
  readonly #allServices: FakeService[] = [];
  #requestCount = 0;

  constructor(readonly options: OperationFleetOptions) {
    this.random = createSeededRandom(options.seed);
    this.servicePool = { services: [], leavingServices: new Set() };
    for (const service of options.services ?? ['booking']) {
      for (let i = 1; i <= (options.targetsPerService ?? 3); i += 1) {
        this.#addService(new FakeService({ name: `${service}-${i}`, service }));
      }
    }
    for (let i = 1; i <= (options.instanceCount ?? 2); i += 1)
      this.startInstance(`e${i}`);
  }

  /** The instance by its place in the order of start. */
  getInstance(index: number): OperationInstance {
    const instance = this.#instances[index % this.#instances.length];
    if (instance === undefined) throw new Error('the fleet is empty');
    return instance;
  }

  get instances(): readonly OperationInstance[] {
    return this.#instances;
  }

  /** Every incarnation that ever ran, for its log of executions. */
  get allServices(): readonly FakeService[] {
    return this.#allServices;
  }

  getService(name: string): FakeService {
    const found = this.servicePool.services.find(
      service => service.name === name,
    );
    if (found === undefined) throw new Error(`no service "${name}"`);
    return found;
  }

  /** Replaces a crashed service by its next incarnation. */
  restartService(name: string): FakeService {
    const old = this.getService(name);
    const next = old.restart();
    Object.assign(next.faults, old.faults);
    this.servicePool.services = this.servicePool.services.filter(
      other => other !== old,
    );
    this.#addService(next);
    return next;
  }

  /** Starts an instance with an incarnation of its own. */
  startInstance(name: string): OperationInstance {
    const log = new MemoryLog();
    const table = new InstanceTable(this.table);
    const directory = new ServiceDirectory(this.servicePool, 'dc-1');
    const peers = new MemoryPeerGroup(this.network, name, 'dc-1');
    const { random } = this;
    const isGone = (instance: string, incarnation: string) =>
      this.goneIncarnations.has(`${instance}#${incarnation}`);
    const quarantine = new TableQuarantine({
      table,
      peers,
      log,
      random,
      instance: name,
      incarnation: '1',
      isGone,
      findIncarnation: target =>
        directory
          .findTarget(target)
          .map(entry => entry.target.incarnation)
          .extract(),
    });
    this.network.attachPeer(name, quarantine.getPeerMethods());
    void quarantine.start();
    const targets = new ServiceTargets({ directory, quarantine, log, random });
    const runner = new ServiceRunner({ targets, quarantine, log });
    const budget = new IdempotencyRateLimiter({ countInstances: () => 1 });
    const ledger = new IdempotentExecutor({
      table,
      log,
      random,
      rateLimiter: budget,
      instance: name,
      incarnation: '1',
      isGone,
    });
    const dispatcher = new IdempotentDispatcher({ executor: ledger, runner });
    const parts = {
      name,
      table,
      executor: ledger,
      dispatcher,
      quarantine,
      log,
    };
    this.#instances.push(parts);
    return parts;
  }

  /** The platform confirms that an instance never runs again. */
  confirmInstanceGone(name: string): void {
    this.goneIncarnations.add(`${name}#1`);
  }

  /** Builds an admitted request. */
  createRequest(sending: OperationCall): OperationRequest {
    this.#requestCount += 1;
    const { service = 'booking', body = '{"trip":1}' } = sending;
    const operation = createTemplateOperation(
      service,
      sending.operation ?? 'book',
    );
    const customer = sending.customer ?? 'voyageurs';
    return {
      id: `request-${this.#requestCount}`,
      entitlement: this.#createEntitlement(customer),
      operation,
      body,
      idempotencyKey: sending.key,
      deadline: Deadline.after(sending.deadlineMs ?? defaultDeadlineMs),
      fingerprint: [customer, service, operation.operation, body].join('/'),
    };
  }

  /** Sends a request through an instance. */
  sendRequest(
    index: number,
    sending: OperationCall,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<Either<Failure, OperationResponse>> {
    const request = this.createRequest(sending);
    return this.getInstance(index).dispatcher.dispatch(request, signal);
  }

  /** Executions of a key by all services. */
  countExecutions(key: string, customer = 'voyageurs'): number {
    const counts = this.#allServices.map(({ simulator: model }) =>
      model.countExecutions(customer, key),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Incarnations that crashed so far. */
  get crashCount(): number {
    return this.#allServices.filter(({ simulator: model }) => model.hasCrashed)
      .length;
  }

  /** Lets a body with this text crash every service that gets it. */
  setPoisonText(text: string): void {
    for (const { faults } of this.servicePool.services) faults.crashOn = text;
  }

  /** Slows every service down. */
  delayResponses(ms: number): void {
    for (const { faults } of this.servicePool.services) faults.slowMs = ms;
  }

  /** Executions of a request id by all services. */
  countRequestExecutions(id: string): number {
    return this.#allServices
      .flatMap(({ executions }) => executions)
      .filter(run => run.id === id).length;
  }

  #addService(service: FakeService): void {
    this.#allServices.push(service);
    this.servicePool.services.push(service);
  }

  #createEntitlement(customer: string): Entitlement {
    const template = templateSchema.parse({
      name: 'template',
      limits: { claims_per_minute: this.options.claimsPerMinute ?? 6_000 },
      customers: { [customer]: { key_hashes: ['0'.repeat(64)] } },
    });
    const configuration = {
      revision: 1,
      operationId: 'o',
      templates: { template },
    };
    return resolveEntitlement(configuration, customer).unsafeCoerce();
  }
}

const createTemplateOperation = (
  service: string,
  operation: 'book' | 'status',
): TemplateOperation => ({
  service,
  operation,
  idempotent: operation === 'status',
  timeout_ms: 5_000,
  retention_hours: 168,
});
