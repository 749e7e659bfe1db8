/**
 * Assigns roles to engines from one elected instance. It sends a command to an
 * engine only right after the table has confirmed the lease of the leader.
 */
import { sleep, toFailure } from '@medlarlever/core';
import type {
  EngineView,
  FleetView,
  InstanceRegistry,
  Log,
  RoleChange,
  Write,
} from '@medlarlever/core';

import { Duty } from '../duties/duty.js';
import type { DutyAuthority } from '../duties/duty-authority.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { Service } from '../routes/route-configuration.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRole } from '../targets/target-record.js';
import type { TargetState } from '../targets/target-state.js';

import { estimateCapacityShare } from './capacity-share.js';
import type { EngineControlClient } from './engine-control-client.js';
import type { PrefillDemand } from './prefill-demand.js';
import type { TargetClosureBroadcaster } from './target-closure-broadcaster.js';
import { QueueWaitPolicy } from './queue-wait-policy.js';

/** Time for the other instances to stop sending requests to a closed engine. */
const closurePropagationMs = 60;

/** Time allowed for an engine to finish its requests and change its role. */
const roleChangeTimeoutMs = 9_000;
const statusPollIntervalMs = 700;

/**
 * Lowest limit, in requests a second, at which the two calls of a role change are
 * within what an engine takes beside the requests.
 */
const minLimitForChange = 1;

/** Latency target assumed for a service to which no route leads yet. */
const defaultLatencyTargetMs = 1_500;

/** Minimum time between two decisions, as a multiple of the role change time. */
const settlingTimeFactor = 1.5;
const msPerSecond = 1_000;

/** Dependencies of {@link RoleDuty}. */
export interface RoleDutyOptions {
  readonly registry: InstanceRegistry;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  /** Returns true while this instance reaches no target, and so can't lead. */
  readonly isCutOff: () => boolean;
  readonly services: ServiceStates;
  readonly demand: PrefillDemand;
  readonly engineControl: EngineControlClient;
  readonly closures: TargetClosureBroadcaster;
  readonly log: Log;
}

/** Decides and changes the roles of engines. */
export class RoleDuty extends Duty {
  override readonly name = 'roles';
  readonly #options: RoleDutyOptions;
  readonly #policiesByService = new Map<string, QueueWaitPolicy>();
  readonly #changingEngineIds = new Set<string>();

  constructor(options: RoleDutyOptions) {
    super();
    this.#options = options;
  }

  override get isImpeded(): boolean {
    return this.#options.isCutOff();
  }

  override startTerm(): void {
    this.#policiesByService.clear();
  }

  /** Decides on the roles; the changes go on after the step. */
  override takeStep(authority: DutyAuthority): Promise<void> {
    for (const service of this.#options.routes.currentTable?.services ?? []) {
      if (service.engine !== undefined) this.#decideRoles(service, authority);
    }
    return Promise.resolve();
  }

  #decideRoles(service: Service, authority: DutyAuthority): void {
    const policy = this.#getOrCreatePolicy(service);
    const { changes } = policy.decideChanges(
      this.#buildFleetView(service.name),
    );
    for (const change of changes) {
      this.#options.log.writeEvent('role_decided', { ...change });
      void this.#executeRoleChange(change, service, authority);
    }
  }

  #getOrCreatePolicy(service: Service): QueueWaitPolicy {
    const existing = this.#policiesByService.get(service.name);
    if (existing !== undefined) return existing;
    const changeMs = (service.engine?.roleChangeS ?? 0) * msPerSecond;
    const policy = new QueueWaitPolicy({
      getPrefillTokensPerMs: () =>
        this.#options.services.getState(service.name).prefillSpeed.tokensPerMs,
      getLatencyTargetMs: () =>
        this.#options.routes.currentTable?.getLongestLatencyTargetMs(
          service.name,
        ) ?? defaultLatencyTargetMs,
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
        !state.isChangingRole &&
        !this.#changingEngineIds.has(record.id) &&
        (state.limiter.sendRate ?? Infinity) >= minLimitForChange,
      ageMs: 0,
      prefillTokens: state.pendingPrefillTokens,
      running: state.activeRequestCount,
      slots: record.slots,
      capacityShare: this.#estimateCapacityShare(state),
      inRoleMs: 0,
    };
  }

  #estimateCapacityShare({ record, limiter }: TargetState): number {
    const { sendRate } = limiter;
    if (sendRate === undefined || record.role === undefined) return 1;
    const { prefillSpeed, prefillTokensAverage, decodeMsAverage } =
      this.#options.services.getState(record.service);
    return estimateCapacityShare({
      role: record.role,
      requestsPerSecond: sendRate,
      slots: record.slots,
      prefillTokensPerMs: prefillSpeed.tokensPerMs,
      sizes: {
        prefillTokens: prefillTokensAverage.value,
        decodeMs: decodeMsAverage.value,
      },
    });
  }

  async #executeRoleChange(
    change: RoleChange,
    service: Service,
    authority: DutyAuthority,
  ): Promise<void> {
    const state = this.#options.targets.findTarget(change.engine);
    if (state === undefined || change.to === 'mixed') return;
    this.#changingEngineIds.add(change.engine);
    try {
      await this.#changeRole(state, change.to, authority);
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
    authority: DutyAuthority,
  ): Promise<void> {
    const { engineControl, closures, registry, log } = this.#options;
    state.limiter.takePermit();
    const status = (
      await engineControl.fetchStatus(state.record)
    ).unsafeCoerce();
    if (status.busy || status.role === role) return;
    closures.closeTarget(state.record.id, roleChangeTimeoutMs);
    await sleep(closurePropagationMs);
    const fencing = authority.fencingToken;
    const write = createCommandWrite(state.record.id, { role, fencing });
    const confirmation = await authority.confirm([write]);
    // The platform may have chosen the engine to be given back in the meantime.
    if (confirmation.isLeft() || state.isLeaving) return;
    state.limiter.takePermit();
    const pendingResult = engineControl.changeRole(state.record, {
      role,
      holder: registry.self.name,
      fencing,
      acceptedCommandCount: status.acceptedCommandCount,
    });
    const fields = { target: state.record.id, role, fencing };
    log.writeEvent('order_sent', fields);
    const result = await pendingResult;
    const outcome = result.caseOf<string>({
      Left: failure => failure.message,
      Right: value => value,
    });
    log.writeEvent('order_finished', { ...fields, outcome });
    if (outcome !== 'refused') await this.#waitForRole(state, role);
  }

  /** Polls the engine until it reports the role, then updates its record. */
  async #waitForRole(state: TargetState, role: TargetRole): Promise<void> {
    const deadlineMs = performance.now() + roleChangeTimeoutMs;
    while (performance.now() < deadlineMs && !state.isLeaving) {
      await sleep(statusPollIntervalMs);
      if (!state.limiter.tryTakePermit()) {
        // The registration tells the role too, at no cost to a limited engine.
        if (state.record.role === role) return;
        continue;
      }
      const status = await this.#options.engineControl.fetchStatus(
        state.record,
      );
      const hasNewRole = status
        .map(({ busy, role: currentRole }) => !busy && currentRole === role)
        .orDefault(false);
      if (hasNewRole) {
        state.record = { ...state.record, role };
        return;
      }
    }
  }
}

/** Creates the table write that records the last command sent to an engine. */
const createCommandWrite = (
  target: string,
  value: { readonly role: TargetRole; readonly fencing: number },
): Write => ({
  kind: 'put',
  key: { partition: 'role-orders', sort: target },
  condition: { kind: 'any' },
  value,
});
