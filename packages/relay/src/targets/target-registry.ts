/** Registry of all known targets and their state. */
import type { Log } from '@medlarlever/core';

import type { RequestLimiter } from '../limits/request-limiter.js';

import { RequestActivity } from './request-activity.js';
import type { TargetRecord } from './target-record.js';
import { SoftwareVersions } from './software-versions.js';
import type { VersionHistory } from './software-versions.js';
import { TargetState } from './target-state.js';
import type { TargetDemands } from './target-state.js';

/**
 * Grace period after the platform has become available again. Registrations may
 * expire during its outage; a target whose registration is still missing after the
 * grace period is gone.
 */
export const registrationGraceMs = 2_200;

/**
 * Time after an engine began to leave during which its cache may be copied, if it does
 * not say when it ends. Leaving engines keep serving for a few seconds longer.
 */
const leavingCopyWindowMs = 2_000;

/** Time before the end of an engine in which no copy is begun, as it would be cut off. */
const copyMarginMs = 200;

/**
 * Number of targets that have left and are remembered, so that an outdated
 * registration does not bring them back.
 */
const maxRememberedDepartures = 1_000;

/** An incarnation of a target that was removed from the registry. */
interface Departure {
  readonly startedAtMs: number | undefined;
  /** True if the target had said that it leaves, and not only its row was missing. */
  readonly wasLeaving: boolean;
  /** What the target had asked for, which holds if its entry only lapsed. */
  readonly demands: TargetDemands;
}

/** Log, cache sizes and callbacks of the registry. */
export interface TargetRegistryOptions {
  readonly log: Log;
  /**
   * Returns the cache size in tokens of an engine of the service; undefined while the
   * configuration does not state it, which leaves the estimate unbounded.
   */
  readonly getKvCacheTokens: (service: string) => number | undefined;
  /** Creates the limiter of a target; by default, this instance is the only one. */
  readonly createLimiter?: (target: string) => RequestLimiter;
  /** Called after a target was added. */
  readonly onTargetAdded?: (record: TargetRecord) => void;
  /** Called when a target has restarted or was removed, with its old record. */
  readonly onIncarnationEnded?: (record: TargetRecord) => void;
}

/** Holds the state of each registered target by its id. */
export class TargetRegistry {
  /** Requests of this instance at the targets. */
  readonly activity = new RequestActivity();
  readonly #states = new Map<string, TargetState>();
  /** Last removed incarnation by target id, oldest removal first. */
  readonly #departures = new Map<string, Departure>();
  readonly #softwareVersions = new SoftwareVersions();
  readonly #options: TargetRegistryOptions;
  #updateLoads: () => void = () => undefined;

  constructor(options: TargetRegistryOptions) {
    this.#options = options;
  }

  get targetCount(): number {
    return this.#states.size;
  }

  /**
   * Calls the function before the targets are listed, so that the loads that other
   * instances report are summed once for a decision and not for each report.
   */
  updateLoadsWith(updateLoads: () => void): void {
    this.#updateLoads = updateLoads;
  }

  listTargets(): readonly TargetState[] {
    this.#updateLoads();
    return [...this.#states.values()];
  }

  findTarget(id: string): TargetState | undefined {
    return this.#states.get(id);
  }

  /** Targets of the service that take new requests. */
  listOpenTargets(service: string): TargetState[] {
    return this.listTargets().filter(
      state => state.record.service === service && !state.isLeaving,
    );
  }

  /**
   * Returns the software version at which every stream of the service began, if there
   * was only one.
   */
  findOnlyVersion(
    service: string,
    history: VersionHistory,
  ): string | undefined {
    const records = this.listTargets().map(({ record }) => record);
    return this.#softwareVersions.findOnlyVersion(service, records, history);
  }

  /** Engines that take no new work, but from which can still be copied. */
  listRecentlyLeavingTargets(service: string): TargetState[] {
    const nowMs = performance.now();
    return this.listTargets().filter(
      ({ record, leavingSinceMs, endsAtMs }) =>
        record.service === service &&
        leavingSinceMs !== undefined &&
        nowMs <
          (endsAtMs === undefined
            ? leavingSinceMs + leavingCopyWindowMs
            : endsAtMs - copyMarginMs),
    );
  }

  /** Adds a target, or updates it from a newer registration. */
  registerTarget(record: TargetRecord): void {
    const state = this.#applyRegistration(record);
    if (record.leaving) this.#markLeaving(state, 'registration');
    else if (state.isLeaving && !state.hasAnnouncedLeaving)
      this.#cancelLeaving(state);
  }

  /**
   * Adds or updates a target from a registration that may be older than what is
   * known. A target that is leaving stays so.
   */
  registerRestoredTarget(record: TargetRecord): void {
    const state = this.#applyRegistration(record);
    if (record.leaving) this.#markLeaving(state, 'registration');
  }

  /**
   * True if this incarnation of the target, or a later one, was removed from the
   * registry, or if a later one is registered.
   */
  isOutdated({ id, startedAtMs = 0 }: TargetRecord): boolean {
    const departure = this.#departures.get(id);
    const hasLeft =
      departure !== undefined && (departure.startedAtMs ?? 0) >= startedAtMs;
    const registeredSinceMs = this.#states.get(id)?.record.startedAtMs ?? 0;
    return hasLeft || registeredSinceMs > startedAtMs;
  }

  /**
   * Marks the incarnation of the target as leaving because the target itself said
   * so, here or to another instance. Returns whether that was news.
   */
  recordAnnouncedLeaving(
    { id, startedAtMs }: Pick<TargetRecord, 'id' | 'startedAtMs'>,
    source: string,
  ): boolean {
    const state = this.#states.get(id);
    if (state === undefined || state.hasAnnouncedLeaving) return false;
    if (state.record.startedAtMs !== startedAtMs) return false;
    state.hasAnnouncedLeaving = true;
    this.#markLeaving(state, source);
    return true;
  }

  #applyRegistration(record: TargetRecord): TargetState {
    const state = this.#states.get(record.id);
    if (state === undefined) return this.#addTarget(record);
    const hasRestarted =
      state.record.startedAtMs !== record.startedAtMs ||
      state.record.address !== record.address;
    if (hasRestarted) {
      this.#softwareVersions.recordRemoval(state.record);
      this.#options.onIncarnationEnded?.(state.record);
      state.resetAfterRestart(record);
    } else {
      if (state.record.softwareVersion !== record.softwareVersion)
        this.#softwareVersions.recordRemoval(state.record);
      state.record = record;
    }
    return state;
  }

  /** Marks the target as leaving and removes it; unknown ids are ignored. */
  removeTarget(id: string, reason: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    this.#rememberDeparture(state);
    this.#markLeaving(state, reason);
    this.#states.delete(id);
    this.#softwareVersions.recordRemoval(state.record);
    this.#options.onIncarnationEnded?.(state.record);
  }

  #rememberDeparture({ record, isLeaving, demands }: TargetState): void {
    const { id, startedAtMs } = record;
    this.#departures.delete(id);
    this.#departures.set(id, { startedAtMs, wasLeaving: isLeaving, demands });
    if (this.#departures.size <= maxRememberedDepartures) return;
    const [oldestId = ''] = this.#departures.keys();
    this.#departures.delete(oldestId);
  }

  #addTarget(record: TargetRecord): TargetState {
    const limiter = this.#options.createLimiter?.(record.id);
    const state = new TargetState(
      record,
      () => this.#options.getKvCacheTokens(record.service) ?? Infinity,
      limiter,
      this.activity,
    );
    this.#states.set(record.id, state);
    this.#options.log.writeEvent('target_registered', {
      target: record.id,
      service: record.service,
      address: record.address,
      role: record.role,
    });
    const departure = this.#departures.get(record.id);
    const isSameIncarnation =
      record.startedAtMs !== undefined &&
      departure?.startedAtMs === record.startedAtMs;
    if (departure !== undefined && isSameIncarnation)
      this.#restoreIncarnation(state, departure);
    this.#options.onTargetAdded?.(record);
    return state;
  }

  /** An entry may lapse and come back; what the target said holds on. */
  #restoreIncarnation(
    state: TargetState,
    { wasLeaving, demands }: Departure,
  ): void {
    state.restoreDemands(demands);
    if (!wasLeaving) return;
    state.hasAnnouncedLeaving = true;
    this.#markLeaving(state, 'left before');
  }

  #cancelLeaving(state: TargetState): void {
    state.leavingSinceMs = undefined;
    state.endsAtMs = undefined;
    this.#options.log.writeEvent('target_registered', {
      target: state.record.id,
    });
  }

  #markLeaving(state: TargetState, reason: string): void {
    this.#recordEnd(state);
    if (state.isLeaving) return;
    state.leavingSinceMs = performance.now();
    this.#options.log.writeEvent('target_leaving', {
      target: state.record.id,
      service: state.record.service,
      reason,
    });
  }

  /**
   * Records when the target ends. A registration that arrives late, or again, names a
   * time that has partly passed, so the earliest end counts.
   */
  #recordEnd(state: TargetState): void {
    const { leaving, leavesInMs } = state.record;
    if (!leaving || leavesInMs === undefined) return;
    state.endsAtMs = Math.min(
      state.endsAtMs ?? Infinity,
      performance.now() + leavesInMs,
    );
  }
}
