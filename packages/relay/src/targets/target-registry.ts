/** Every registered target with what is known of it. */
import type { Log } from '@medlarlever/core';

import type { TargetRecord } from './target-record.js';
import { TargetState } from './target-state.js';

/**
 * Registrations may lapse while the platform is away. This long after its
 * return, one that is still missing means that the target is gone.
 */
export const lapseGraceMs = 2_200;

/** A leaving target serves on for a few seconds; copies begin well before. */
const copyableMs = 2_000;

/** Cache size assumed while the configuration does not tell it. */
const unknownKvTokens = 100_000;

export interface TargetBookOptions {
  readonly log: Log;
  /** Tokens that an engine of the service keeps. */
  readonly kvTokens: (service: string) => number | undefined;
  /** A target became known. */
  readonly onAdded?: (record: TargetRecord) => void;
  /** A life of a target has ended. */
  readonly onEnded?: (record: TargetRecord) => void;
}

export class TargetBook {
  readonly #states = new Map<string, TargetState>();
  readonly #options: TargetBookOptions;

  constructor(options: TargetBookOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#states.size;
  }

  all(): readonly TargetState[] {
    return [...this.#states.values()];
  }

  find(id: string): TargetState | undefined {
    return this.#states.get(id);
  }

  /** Targets of the service that take new work. */
  open(service: string): TargetState[] {
    return this.all().filter(
      state => state.record.service === service && !state.leaving,
    );
  }

  /** Engines that left a moment ago: what they keep can still be copied. */
  leftLately(service: string): TargetState[] {
    const sinceMs = performance.now() - copyableMs;
    return this.all().filter(
      ({ record, leavingSinceMs = -Infinity }) =>
        record.service === service && leavingSinceMs > sinceMs,
    );
  }

  /** Takes in a registration. */
  register(record: TargetRecord): void {
    const state = this.#states.get(record.id);
    if (state === undefined) {
      this.#add(record);
      return;
    }
    const newLife =
      state.record.startedAtMs !== record.startedAtMs ||
      state.record.address !== record.address;
    if (newLife) {
      this.#options.onEnded?.(state.record);
      state.restarted(record);
    } else {
      state.record = record;
    }
    if (record.leaving) this.#leave(state, 'registration');
    else if (state.leaving) this.#reopen(state);
  }

  /** A registration was removed: no new work, and forgotten when idle. */
  remove(id: string, reason: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    this.#leave(state, reason);
    this.#states.delete(id);
    this.#options.onEnded?.(state.record);
  }

  #add(record: TargetRecord): void {
    const kvTokens = this.#options.kvTokens(record.service) ?? unknownKvTokens;
    const state = new TargetState(record, kvTokens);
    this.#states.set(record.id, state);
    this.#options.log.event('target_registered', {
      target: record.id,
      service: record.service,
      address: record.address,
      role: record.role,
    });
    if (record.leaving) this.#leave(state, 'registration');
    this.#options.onAdded?.(record);
  }

  #reopen(state: TargetState): void {
    state.leavingSinceMs = undefined;
    this.#options.log.event('target_registered', { target: state.record.id });
  }

  #leave(state: TargetState, reason: string): void {
    if (state.leaving) return;
    state.leavingSinceMs = performance.now();
    this.#options.log.event('target_leaving', {
      target: state.record.id,
      service: state.record.service,
      reason,
    });
  }
}
