/**
 * Lets one instance decide the engines' roles. Authority is a lease of the
 * platform's table; an order goes out only right after the table confirmed it.
 */
import { guardedCommit, sleep, toFailure } from '@medlarlever/core';
import type {
  EngineView,
  FleetView,
  InstanceRegistry,
  Lease,
  LeaseKeeper,
  Log,
  RoleChange,
  Table,
  Write,
} from '@medlarlever/core';

import type { ServiceStates } from '../relay/service-state.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { Service } from '../routes/route-configuration.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRole } from '../targets/target-record.js';
import type { TargetState } from '../targets/target-state.js';

import type { EngineOrders } from './engine-control-client.js';
import type { ReadingDemand } from './prefill-demand.js';
import type { RoleNews } from './target-closure-broadcaster.js';
import { WaitingPolicy } from './queue-wait-policy.js';

const leaseName = 'roles';
const periodMs = 500;

/** Instances that try for the lease, by order of their names. */
const candidates = 3;
const acquirePauseMs = 1_500;

/** An authority that was confirmed longer ago may have been lost. */
const confirmationMs = 400;

/** Time for the neighbours to stop sending to an engine. */
const announceMs = 60;

/** Longest time that an engine is expected to finish its work and change. */
const changePatienceMs = 9_000;
const reportPauseMs = 700;

/** Changes of role one after the other, in times of one change. */
const settleChanges = 1.5;
const msPerSecond = 1_000;

export interface RoleLeaderOptions {
  readonly leases: LeaseKeeper;
  readonly table: Table;
  readonly registry: InstanceRegistry;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly services: ServiceStates;
  readonly demand: ReadingDemand;
  readonly orders: EngineOrders;
  readonly news: RoleNews;
  readonly log: Log;
  readonly random: () => number;
  /** Time in which engines must not hear of two instances. */
  readonly turnMs: number;
}

export class RoleLeader {
  readonly #options: RoleLeaderOptions;
  readonly #policies = new Map<string, WaitingPolicy>();
  readonly #changing = new Set<string>();

  constructor(options: RoleLeaderOptions) {
    this.#options = options;
  }

  /** Tries for the lease, and leads while it is held. */
  async run(signal: AbortSignal): Promise<void> {
    while (await sleep(acquirePauseMs, signal)) {
      if (!this.#isCandidate()) continue;
      const lease = await this.#options.leases.acquire(leaseName);
      if (lease.isRight()) await this.#lead(lease.extract(), signal);
    }
  }

  /** Few instances ask the table, so that it is not asked in vain. */
  #isCandidate(): boolean {
    const { registry } = this.#options;
    const live = registry
      .all()
      .filter(({ state }) => state === 'live')
      .map(({ name }) => name)
      .sort();
    const place = live.indexOf(registry.self.name);
    return place !== -1 && place < candidates;
  }

  /** The last holder's orders may still arrive for one turn. */
  async #lead(lease: Lease, stop: AbortSignal): Promise<void> {
    const signal = AbortSignal.any([lease.signal, stop]);
    this.#policies.clear();
    if (!(await sleep(this.#options.turnMs, signal))) return;
    while (lease.held && (await sleep(periodMs, signal))) {
      for (const service of this.#options.routes.currentTable?.services ?? []) {
        if (service.engine !== undefined) this.#decide(service, lease);
      }
    }
    if (stop.aborted) await this.#options.leases.release(lease);
  }

  #decide(service: Service, lease: Lease): void {
    const policy = this.#policy(service);
    const { changes } = policy.decide(this.#view(service.name));
    for (const change of changes) {
      this.#options.log.event('role_decided', { ...change });
      void this.#carryOut(change, service, lease);
    }
  }

  #policy(service: Service): WaitingPolicy {
    const held = this.#policies.get(service.name);
    if (held !== undefined) return held;
    const changeMs = (service.engine?.roleChangeS ?? 0) * msPerSecond;
    const policy = new WaitingPolicy({
      tokensPerMs: () =>
        this.#options.services.getState(service.name).prefillSpeed.tokensPerMs,
      settleMs: settleChanges * changeMs,
    });
    this.#policies.set(service.name, policy);
    return policy;
  }

  #view(service: string): FleetView {
    const engines = this.#options.targets
      .listOpenTargets(service)
      .map(state => this.#engineView(state));
    const demand = {
      dataCenter: this.#options.registry.self.dataCenter,
      prefillRate: this.#options.demand.rate(service),
      decodeRate: 0,
      requestRate: 0,
      ageMs: 0,
    };
    return { nowMs: performance.now(), engines, demand: [demand] };
  }

  #engineView(state: TargetState): EngineView {
    const { record } = state;
    return {
      name: record.id,
      dataCenter: record.dataCenter,
      role: record.role ?? 'mixed',
      available: !state.isChangingRole && !this.#changing.has(record.id),
      ageMs: 0,
      prefillTokens: state.pendingPrefillTokens,
      running: state.activeRequestCount,
      slots: record.slots,
      inRoleMs: 0,
    };
  }

  async #carryOut(
    change: RoleChange,
    service: Service,
    lease: Lease,
  ): Promise<void> {
    const state = this.#options.targets.findTarget(change.engine);
    if (state === undefined || change.to === 'mixed') return;
    this.#changing.add(change.engine);
    try {
      await this.#change(state, change.to, lease);
    } catch (error) {
      this.#options.log.event('step_failed', {
        step: 'role change',
        target: change.engine,
        service: service.name,
        reason: toFailure(error).message,
      });
    } finally {
      this.#changing.delete(change.engine);
      this.#options.news.reopen(change.engine);
    }
  }

  async #change(
    state: TargetState,
    role: TargetRole,
    lease: Lease,
  ): Promise<void> {
    const { orders, news, registry, log } = this.#options;
    const report = (await orders.report(state.record)).unsafeCoerce();
    if (report.busy || report.role === role) return;
    news.close(state.record.id, changePatienceMs);
    await sleep(announceMs);
    if (!(await this.#confirm(lease, state.record.id, role))) return;
    const sent = orders.changeRole(state.record, {
      role,
      holder: registry.self.name,
      fencing: lease.fencing,
      ordersAccepted: report.ordersAccepted,
    });
    const fields = { target: state.record.id, role, fencing: lease.fencing };
    log.event('order_sent', fields);
    const answer = await sent;
    const outcome = answer.caseOf<string>({
      Left: failure => failure.message,
      Right: value => value,
    });
    log.event('order_finished', { ...fields, outcome });
    if (outcome !== 'refused') await this.#awaitRole(state, role);
  }

  /**
   * Records the order while the lease is held; true if the table has just
   * confirmed it, by the steady clock and by the time of day. A process that
   * was frozen meanwhile sends nothing.
   */
  async #confirm(
    lease: Lease,
    target: string,
    role: TargetRole,
  ): Promise<boolean> {
    const { table, random, log } = this.#options;
    const steadyMs = performance.now();
    const dayMs = Date.now();
    const commit = await guardedCommit({
      table,
      lease,
      writes: [orderWrite(target, { role, fencing: lease.fencing })],
      random,
      log,
      patienceMs: confirmationMs,
    });
    const committed = commit
      .map(({ kind }) => kind === 'committed')
      .orDefault(false);
    if (!committed) return false;
    const quick =
      performance.now() - steadyMs < confirmationMs &&
      Math.abs(Date.now() - dayMs) < confirmationMs;
    return quick && lease.held;
  }

  async #awaitRole(state: TargetState, role: TargetRole): Promise<void> {
    const untilMs = performance.now() + changePatienceMs;
    while (performance.now() < untilMs && !state.isLeaving) {
      await sleep(reportPauseMs);
      const report = await this.#options.orders.report(state.record);
      const done = report
        .map(({ busy, role: now }) => !busy && now === role)
        .orDefault(false);
      if (done) {
        state.record = { ...state.record, role };
        return;
      }
    }
  }
}

/** Remembers the last order to an engine under the lease that gave it. */
const orderWrite = (
  target: string,
  value: { readonly role: TargetRole; readonly fencing: number },
): Write => ({
  kind: 'put',
  key: { partition: 'role-orders', sort: target },
  condition: { kind: 'any' },
  value,
});
