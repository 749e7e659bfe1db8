/** Every registered target with what is known of it. */
import type { Log } from '@medlarlever/core';

import type { TargetRecord } from './target-record.js';
import { TargetState } from './target-state.js';

/**
 * Registrations may lapse while the platform is away. This long after its
 * return, one that is still missing means that the target is gone.
 */
export const registrationGraceMs = 2_200;

/** A leaving target serves on for a few seconds; copies begin well before. */
const leavingCopyWindowMs = 2_000;

/** Cache size assumed while the configuration does not tell it. */
const defaultKvCacheTokens = 100_000;

export interface TargetRegistryOptions {
  readonly log: Log;
  /** Tokens that an engine of the service keeps. */
  readonly getKvCacheTokens: (service: string) => number | undefined;
  /** A target became known. */
  readonly onTargetAdded?: (record: TargetRecord) => void;
  /** A life of a target has ended. */
  readonly onIncarnationEnded?: (record: TargetRecord) => void;
}

export class TargetRegistry {
  readonly #states = new Map<string, TargetState>();
  readonly #options: TargetRegistryOptions;

  constructor(options: TargetRegistryOptions) {
    this.#options = options;
  }

  get targetCount(): number {
    return this.#states.size;
  }

  listTargets(): readonly TargetState[] {
    return [...this.#states.values()];
  }

  findTarget(id: string): TargetState | undefined {
    return this.#states.get(id);
  }

  /** Targets of the service that take new work. */
  listOpenTargets(service: string): TargetState[] {
    return this.listTargets().filter(
      state => state.record.service === service && !state.isLeaving,
    );
  }

  /** Engines that left a moment ago: what they keep can still be copied. */
  listRecentlyLeavingTargets(service: string): TargetState[] {
    const sinceMs = performance.now() - leavingCopyWindowMs;
    return this.listTargets().filter(
      ({ record, leavingSinceMs = -Infinity }) =>
        record.service === service && leavingSinceMs > sinceMs,
    );
  }

  /** Takes in a registration. */
  registerTarget(record: TargetRecord): void {
    const state = this.#states.get(record.id);
    if (state === undefined) {
      this.#addTarget(record);
      return;
    }
    const newLife =
      state.record.startedAtMs !== record.startedAtMs ||
      state.record.address !== record.address;
    if (newLife) {
      this.#options.onIncarnationEnded?.(state.record);
      state.resetAfterRestart(record);
    } else {
      state.record = record;
    }
    if (record.leaving) this.#markLeaving(state, 'registration');
    else if (state.isLeaving) this.#cancelLeaving(state);
  }

  /** A registration was removed: no new work, and forgotten when idle. */
  removeTarget(id: string, reason: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    this.#markLeaving(state, reason);
    this.#states.delete(id);
    this.#options.onIncarnationEnded?.(state.record);
  }

  #addTarget(record: TargetRecord): void {
    const kvTokens =
      this.#options.getKvCacheTokens(record.service) ?? defaultKvCacheTokens;
    const state = new TargetState(record, kvTokens);
    this.#states.set(record.id, state);
    this.#options.log.writeEvent('target_registered', {
      target: record.id,
      service: record.service,
      address: record.address,
      role: record.role,
    });
    if (record.leaving) this.#markLeaving(state, 'registration');
    this.#options.onTargetAdded?.(record);
  }

  #cancelLeaving(state: TargetState): void {
    state.leavingSinceMs = undefined;
    this.#options.log.writeEvent('target_registered', {
      target: state.record.id,
    });
  }

  #markLeaving(state: TargetState, reason: string): void {
    if (state.isLeaving) return;
    state.leavingSinceMs = performance.now();
    this.#options.log.writeEvent('target_leaving', {
      target: state.record.id,
      service: state.record.service,
      reason,
    });
  }
}
