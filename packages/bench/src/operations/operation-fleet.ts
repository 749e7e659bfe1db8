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
import { MemoryDirectory } from './service-directory.js';
import type { ServicePool } from './service-directory.js';
import { seededRandom } from '../shared/seeded-random.js';

export interface OperationFleetOptions {
  readonly seed: number;
  readonly instances?: number;
  /** Runners of each service. */
  readonly runners?: number;
  readonly services?: readonly string[];
  readonly claimsPerMinute?: number;
}

/** One entry instance with its parts. */
export interface OperationInstance {
  readonly name: string;
  readonly table: InstanceTable;
  readonly ledger: IdempotentExecutor;
  readonly dispatcher: IdempotentDispatcher;
  readonly quarantine: TableQuarantine;
  readonly log: MemoryLog;
}

/** What a caller sends. */
export interface Sending {
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
  readonly pool: ServicePool;
  /** `instance#incarnation` of every confirmed-gone instance. */
  readonly gone = new Set<string>();
  readonly random: () => number;
  readonly #instances: OperationInstance[] = [];
  readonly #all: FakeService[] = [];
  #requests = 0;

  constructor(readonly options: OperationFleetOptions) {
    this.random = seededRandom(options.seed);
    this.pool = { services: [], leaving: new Set() };
    for (const service of options.services ?? ['booking']) {
      for (let i = 1; i <= (options.runners ?? 3); i += 1) {
        this.#add(new FakeService({ name: `${service}-${i}`, service }));
      }
    }
    for (let i = 1; i <= (options.instances ?? 2); i += 1) this.start(`e${i}`);
  }

  /** The instance by its place in the order of start. */
  at(index: number): OperationInstance {
    const instance = this.#instances[index % this.#instances.length];
    if (instance === undefined) throw new Error('the fleet is empty');
    return instance;
  }

  get instances(): readonly OperationInstance[] {
    return this.#instances;
  }

  /** Every incarnation that ever ran, for its log of executions. */
  get everyService(): readonly FakeService[] {
    return this.#all;
  }

  service(name: string): FakeService {
    const found = this.pool.services.find(service => service.name === name);
    if (found === undefined) throw new Error(`no service "${name}"`);
    return found;
  }

  /** Replaces a crashed service by its next incarnation. */
  restart(name: string): FakeService {
    const old = this.service(name);
    const next = old.restart();
    Object.assign(next.faults, old.faults);
    this.pool.services = this.pool.services.filter(other => other !== old);
    this.#add(next);
    return next;
  }

  /** Starts an instance with an incarnation of its own. */
  start(name: string): OperationInstance {
    const log = new MemoryLog();
    const table = new InstanceTable(this.table);
    const directory = new MemoryDirectory(this.pool, 'dc-1');
    const peers = new MemoryPeerGroup(this.network, name, 'dc-1');
    const { random } = this;
    const isGone = (instance: string, incarnation: string) =>
      this.gone.has(`${instance}#${incarnation}`);
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
    const parts = { name, table, ledger, dispatcher, quarantine, log };
    this.#instances.push(parts);
    return parts;
  }

  /** The platform confirms that an instance never runs again. */
  confirmGone(name: string): void {
    this.gone.add(`${name}#1`);
  }

  /** Builds an admitted request. */
  request(sending: Sending): OperationRequest {
    this.#requests += 1;
    const { service = 'booking', body = '{"trip":1}' } = sending;
    const operation = operationOf(service, sending.operation ?? 'book');
    const customer = sending.customer ?? 'voyageurs';
    return {
      id: `request-${this.#requests}`,
      entitlement: this.#entitlementOf(customer),
      operation,
      body,
      idempotencyKey: sending.key,
      deadline: Deadline.after(sending.deadlineMs ?? defaultDeadlineMs),
      fingerprint: [customer, service, operation.operation, body].join('/'),
    };
  }

  /** Sends a request through an instance. */
  send(
    index: number,
    sending: Sending,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<Either<Failure, OperationResponse>> {
    const request = this.request(sending);
    return this.at(index).dispatcher.dispatch(request, signal);
  }

  /** Executions of a key by all services. */
  runsOf(key: string, customer = 'voyageurs'): number {
    const counts = this.#all.map(({ simulator: model }) =>
      model.countExecutions(customer, key),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Incarnations that crashed so far. */
  get crashes(): number {
    return this.#all.filter(({ simulator: model }) => model.hasCrashed).length;
  }

  /** Lets a body with this text crash every service that gets it. */
  poison(text: string): void {
    for (const { faults } of this.pool.services) faults.crashOn = text;
  }

  /** Slows every service down. */
  slow(ms: number): void {
    for (const { faults } of this.pool.services) faults.slowMs = ms;
  }

  /** Executions of a request id by all services. */
  runsOfRequest(id: string): number {
    return this.#all
      .flatMap(({ executions }) => executions)
      .filter(run => run.id === id).length;
  }

  #add(service: FakeService): void {
    this.#all.push(service);
    this.pool.services.push(service);
  }

  #entitlementOf(customer: string): Entitlement {
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

const operationOf = (
  service: string,
  operation: 'book' | 'status',
): TemplateOperation => ({
  service,
  operation,
  idempotent: operation === 'status',
  timeout_ms: 5_000,
  retention_hours: 168,
});
