/** Fleet of entry instances, services and a table in one process, for tests, drills and measurements. */
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

/** Size, seed and limits of a fleet. */
export interface OperationFleetOptions {
  readonly seed: number;
  /** Number of instances; 2 by default. */
  readonly instanceCount?: number;
  /** Number of targets of each service; 3 by default. */
  readonly targetsPerService?: number;
  /** Names of the services; only `booking` by default. */
  readonly services?: readonly string[];
  /** Limit of idempotency claims per customer and minute; 6000 by default. */
  readonly claimsPerMinute?: number;
}

/** The components of one entry instance. */
export interface OperationInstance {
  readonly name: string;
  readonly table: InstanceTable;
  readonly executor: IdempotentExecutor;
  readonly dispatcher: IdempotentDispatcher;
  readonly quarantine: TableQuarantine;
  readonly log: MemoryLog;
}

/** The parameters of one request; `book` is the non-idempotent operation. */
export interface OperationCall {
  readonly service?: string;
  readonly operation?: 'book' | 'status';
  readonly key?: string;
  readonly body?: string;
  readonly customer?: string;
  /** Time from the request to its deadline, in milliseconds; 10 000 by default. */
  readonly deadlineMs?: number;
}

const defaultDeadlineMs = 10_000;

/** Creates the services, starts the instances and sends requests through them. */
export class OperationFleet {
  readonly table = new MemoryTable();
  readonly network = new MemoryNetwork();
  readonly servicePool: ServicePool;
  /** `instance#incarnation` of every instance that the platform has confirmed as gone. */
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

  /** Returns an instance by its start index, modulo the number of instances. */
  getInstance(index: number): OperationInstance {
    const instance = this.#instances[index % this.#instances.length];
    if (instance === undefined) throw new Error('the fleet has no instances');
    return instance;
  }

  get instances(): readonly OperationInstance[] {
    return this.#instances;
  }

  /** All service incarnations since the start, including crashed ones; their execution logs are counted. */
  get allServices(): readonly FakeService[] {
    return this.#allServices;
  }

  getService(name: string): FakeService {
    const found = this.servicePool.services.find(
      service => service.name === name,
    );
    if (found === undefined)
      throw new Error(`the fleet has no service target "${name}"`);
    return found;
  }

  /** Replaces a crashed service target with its next incarnation and keeps its faults. */
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

  /** Starts an instance with the incarnation `1`. */
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
    const rateLimiter = new IdempotencyRateLimiter({ countInstances: () => 1 });
    const executor = new IdempotentExecutor({
      table,
      log,
      random,
      rateLimiter,
      instance: name,
      incarnation: '1',
      isGone,
    });
    const dispatcher = new IdempotentDispatcher({ executor, runner });
    const operationInstance = {
      name,
      table,
      executor,
      dispatcher,
      quarantine,
      log,
    };
    this.#instances.push(operationInstance);
    return operationInstance;
  }

  /** Records the platform's confirmation that an instance is gone and never runs again. */
  confirmInstanceGone(name: string): void {
    this.goneIncarnations.add(`${name}#1`);
  }

  /** Creates an authorized request with the next request id. */
  createRequest(call: OperationCall): OperationRequest {
    this.#requestCount += 1;
    const { service = 'booking', body = '{"trip":1}' } = call;
    const operation = createTemplateOperation(
      service,
      call.operation ?? 'book',
    );
    const customer = call.customer ?? 'voyageurs';
    return {
      id: `request-${this.#requestCount}`,
      entitlement: this.#createEntitlement(customer),
      operation,
      body,
      idempotencyKey: call.key,
      deadline: Deadline.after(call.deadlineMs ?? defaultDeadlineMs),
      fingerprint: [customer, service, operation.operation, body].join('/'),
    };
  }

  /** Sends a request through the instance with the index (modulo the number of instances). */
  sendRequest(
    index: number,
    call: OperationCall,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<Either<Failure, OperationResponse>> {
    const request = this.createRequest(call);
    return this.getInstance(index).dispatcher.dispatch(request, signal);
  }

  /** Counts the executions of an idempotency key by all service incarnations. */
  countExecutions(key: string, customer = 'voyageurs'): number {
    const counts = this.#allServices.map(({ simulator }) =>
      simulator.countExecutions(customer, key),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Number of service incarnations that have crashed. */
  get crashCount(): number {
    return this.#allServices.filter(({ simulator }) => simulator.hasCrashed)
      .length;
  }

  /** Makes every service crash on a request body that contains the text. */
  setPoisonText(text: string): void {
    for (const { faults } of this.servicePool.services) faults.crashOn = text;
  }

  /** Delays every response of every service by a time in milliseconds. */
  delayResponses(delayMs: number): void {
    for (const { faults } of this.servicePool.services) faults.slowMs = delayMs;
  }

  /** Counts the executions of a request id by all service incarnations. */
  countRequestExecutions(id: string): number {
    return this.#allServices
      .flatMap(({ executions }) => executions)
      .filter(execution => execution.id === id).length;
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
