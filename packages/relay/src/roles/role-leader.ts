/**
 * Lets one instance decide the engines' roles. Authority is a lease of the
 * platform's table; an order goes out only right after the table confirmed it.
 */
import { commitUnderLease, sleep, toFailure } from '@medlarlever/core';
import type {
  EngineView,
  FleetView,
  InstanceRegistry,
  Lease,
  LeaseManager,
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

import type { EngineControlClient } from './engine-control-client.js';
import type { PrefillDemand } from './prefill-demand.js';
import type { TargetClosureBroadcaster } from './target-closure-broadcaster.js';
import { QueueWaitPolicy } from './queue-wait-policy.js';

const roleLeaseName = 'roles';
const decisionIntervalMs = 500;

/** Instances that try for the lease, by order of their names. */
const maxLeaseCandidates = 3;
const leaseAcquireIntervalMs = 1_500;

/** An authority that was confirmed longer ago may have been lost. */
const leaseConfirmationTimeoutMs = 400;

/** Time for the neighbours to stop sending to an engine. */
const closurePropagationMs = 60;

/** Longest time that an engine is expected to finish its work and change. */
const roleChangeTimeoutMs = 9_000;
const statusPollIntervalMs = 700;

/** Changes of role one after the other, in times of one change. */
const settlingTimeFactor = 1.5;
const msPerSecond = 1_000;

export interface RoleLeaderOptions {
  readonly leases: LeaseManager;
  readonly table: Table;
  readonly registry: InstanceRegistry;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly services: ServiceStates;
  readonly demand: PrefillDemand;
  readonly engineControl: EngineControlClient;
  readonly closures: TargetClosureBroadcaster;
  readonly log: Log;
  readonly random: () => number;
  /** Time in which engines must not hear of two instances. */
  readonly leaseDurationMs: number;
}

export class RoleLeader {
  readonly #options: RoleLeaderOptions;
  readonly #policiesByService = new Map<string, QueueWaitPolicy>();
  readonly #changingEngineIds = new Set<string>();

  constructor(options: RoleLeaderOptions) {
    this.#options = options;
  }

  /** Tries for the lease, and leads while it is held. */
  async run(signal: AbortSignal): Promise<void> {
    while (await sleep(leaseAcquireIntervalMs, signal)) {
      if (!this.#isCandidate()) continue;
      const lease = await this.#options.leases.acquireLease(roleLeaseName);
      if (lease.isRight())
        await this.#decideWhileLeaseHeld(lease.extract(), signal);
    }
  }

  /** Few instances ask the table, so that it is not asked in vain. */
  #isCandidate(): boolean {
    const { registry } = this.#options;
    const live = registry
      .listInstances()
      .filter(({ state }) => state === 'live')
      .map(({ name }) => name)
      .sort();
    const place = live.indexOf(registry.self.name);
    return place !== -1 && place < maxLeaseCandidates;
  }

  /** The last holder's orders may still arrive for one turn. */
  async #decideWhileLeaseHeld(lease: Lease, stop: AbortSignal): Promise<void> {
    const signal = AbortSignal.any([lease.signal, stop]);
    this.#policiesByService.clear();
    if (!(await sleep(this.#options.leaseDurationMs, signal))) return;
    while (lease.isHeld && (await sleep(decisionIntervalMs, signal))) {
      for (const service of this.#options.routes.currentTable?.services ?? []) {
        if (service.engine !== undefined) this.#decideRoles(service, lease);
      }
    }
    if (stop.aborted) await this.#options.leases.releaseLease(lease);
  }

  #decideRoles(service: Service, lease: Lease): void {
    const policy = this.#getOrCreatePolicy(service);
    const { changes } = policy.decideChanges(
      this.#buildFleetView(service.name),
    );
    for (const change of changes) {
      this.#options.log.writeEvent('role_decided', { ...change });
      void this.#executeRoleChange(change, service, lease);
    }
  }

  #getOrCreatePolicy(service: Service): QueueWaitPolicy {
    const held = this.#policiesByService.get(service.name);
    if (held !== undefined) return held;
    const changeMs = (service.engine?.roleChangeS ?? 0) * msPerSecond;
    const policy = new QueueWaitPolicy({
      getPrefillTokensPerMs: () =>
        this.#options.services.getState(service.name).prefillSpeed.tokensPerMs,
      minChangeIntervalMs: settlingTimeFactor * changeMs,
    });
    this.#policiesByService.set(service.name, policy);
    return policy;
  }

  #buildFleetView(service: string): FleetView {
    const engines = this.#options.targets
      .listOpenTargets(service)
      .map(state => this.#buildEngineView(state));
    const demand = {
      dataCenter: this.#options.registry.self.dataCenter,
      prefillRate: this.#options.demand.getTokensPerSecond(service),
      decodeRate: 0,
      requestRate: 0,
      ageMs: 0,
    };
    return { nowMs: performance.now(), engines, demand: [demand] };
  }

  #buildEngineView(state: TargetState): EngineView {
    const { record } = state;
    return {
      name: record.id,
      dataCenter: record.dataCenter,
      role: record.role ?? 'mixed',
      available:
        !state.isChangingRole && !this.#changingEngineIds.has(record.id),
      ageMs: 0,
      prefillTokens: state.pendingPrefillTokens,
      running: state.activeRequestCount,
      slots: record.slots,
      inRoleMs: 0,
    };
  }

  async #executeRoleChange(
    change: RoleChange,
    service: Service,
    lease: Lease,
  ): Promise<void> {
    const state = this.#options.targets.findTarget(change.engine);
    if (state === undefined || change.to === 'mixed') return;
    this.#changingEngineIds.add(change.engine);
    try {
      await this.#changeRole(state, change.to, lease);
    } catch (error) {
      this.#options.log.writeEvent('step_failed', {
        step: 'role change',
        target: change.engine,
        service: service.name,
        reason: toFailure(error).message,
      });
    } finally {
      this.#changingEngineIds.delete(change.engine);
      this.#options.closures.reopenTarget(change.engine);
    }
  }

  async #changeRole(
    state: TargetState,
    role: TargetRole,
    lease: Lease,
  ): Promise<void> {
    const {
      engineControl: orders,
      closures: news,
      registry,
      log,
    } = this.#options;
    const report = (await orders.fetchStatus(state.record)).unsafeCoerce();
    if (report.busy || report.role === role) return;
    news.closeTarget(state.record.id, roleChangeTimeoutMs);
    await sleep(closurePropagationMs);
    if (!(await this.#confirmLease(lease, state.record.id, role))) return;
    const sent = orders.changeRole(state.record, {
      role,
      holder: registry.self.name,
      fencing: lease.fencingToken,
      acceptedCommandCount: report.acceptedCommandCount,
    });
    const fields = {
      target: state.record.id,
      role,
      fencing: lease.fencingToken,
    };
    log.writeEvent('order_sent', fields);
    const answer = await sent;
    const outcome = answer.caseOf<string>({
      Left: failure => failure.message,
      Right: value => value,
    });
    log.writeEvent('order_finished', { ...fields, outcome });
    if (outcome !== 'refused') await this.#waitForRole(state, role);
  }

  /**
   * Records the order while the lease is held; true if the table has just
   * confirmed it, by the steady clock and by the time of day. A process that
   * was frozen meanwhile sends nothing.
   */
  async #confirmLease(
    lease: Lease,
    target: string,
    role: TargetRole,
  ): Promise<boolean> {
    const { table, random, log } = this.#options;
    const steadyMs = performance.now();
    const dayMs = Date.now();
    const commit = await commitUnderLease({
      table,
      lease,
      writes: [
        createCommandWrite(target, { role, fencing: lease.fencingToken }),
      ],
      random,
      log,
      retryTimeoutMs: leaseConfirmationTimeoutMs,
    });
    const committed = commit
      .map(({ kind }) => kind === 'committed')
      .orDefault(false);
    if (!committed) return false;
    const quick =
      performance.now() - steadyMs < leaseConfirmationTimeoutMs &&
      Math.abs(Date.now() - dayMs) < leaseConfirmationTimeoutMs;
    return quick && lease.isHeld;
  }

  async #waitForRole(state: TargetState, role: TargetRole): Promise<void> {
    const untilMs = performance.now() + roleChangeTimeoutMs;
    while (performance.now() < untilMs && !state.isLeaving) {
      await sleep(statusPollIntervalMs);
      const report = await this.#options.engineControl.fetchStatus(
        state.record,
      );
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
const createCommandWrite = (
  target: string,
  value: { readonly role: TargetRole; readonly fencing: number },
): Write => ({
  kind: 'put',
  key: { partition: 'role-orders', sort: target },
  condition: { kind: 'any' },
  value,
});
