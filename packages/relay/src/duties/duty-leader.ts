/**
 * Competes for the one lease of all duties and runs the duties while holding it.
 */
import { sleep, toFailure } from '@medlarlever/core';
import type {
  InstanceRegistry,
  Lease,
  Leases,
  Log,
  Table,
} from '@medlarlever/core';

import { DutyAuthority } from './duty-authority.js';
import type { Duty } from './duty.js';
import { listLeaseCandidates } from './lease-candidates.js';

/**
 * Name of the lease whose holder is the leader. Instances of earlier versions
 * compete for it to assign roles, so the name stays.
 */
const leaseName = 'roles';
const stepIntervalMs = 500;
const leaseAcquireIntervalMs = 1_500;

/** Dependencies and timing of {@link DutyLeader}. */
export interface DutyLeaderOptions {
  readonly leases: Leases;
  readonly table: Table;
  readonly registry: InstanceRegistry;
  readonly log: Log;
  readonly random: () => number;
  /**
   * Duration of the lease. A new leader waits this long before its first step,
   * so that no system gets calls from two instances at once.
   */
  readonly leaseDurationMs: number;
}

/** Holds the lease, if it can be had, and runs all duties under it. */
export class DutyLeader {
  readonly #options: DutyLeaderOptions;
  readonly #duties: Duty[] = [];
  readonly #pendingDuties = new Set<Duty>();

  constructor(options: DutyLeaderOptions) {
    this.#options = options;
  }

  /** Adds a duty. One that is added during a term begins with the next term. */
  addDuty(duty: Duty): void {
    this.#duties.push(duty);
  }

  /** Tries to acquire the lease until `signal` aborts; leads while holding it. */
  async run(signal: AbortSignal): Promise<void> {
    while (await sleep(leaseAcquireIntervalMs, signal)) {
      if (!this.#isCandidate()) continue;
      const lease = await this.#options.leases.acquireLease(leaseName);
      if (lease.isRight())
        await this.#leadWhileLeaseHeld(lease.extract(), signal);
    }
  }

  #isCandidate(): boolean {
    const { registry } = this.#options;
    return (
      this.#duties.length > 0 &&
      !this.#isImpeded &&
      listLeaseCandidates(registry).includes(registry.self.name)
    );
  }

  get #isImpeded(): boolean {
    return this.#duties.some(({ isImpeded }) => isImpeded);
  }

  /**
   * Runs the duties while the lease is held. Waits one lease duration first,
   * because calls of the previous holder may still arrive during that time.
   */
  async #leadWhileLeaseHeld(
    lease: Lease,
    stopSignal: AbortSignal,
  ): Promise<void> {
    const { leases, leaseDurationMs } = this.#options;
    const signal = AbortSignal.any([lease.signal, stopSignal]);
    const authority = this.#createAuthority(lease, signal);
    const duties = [...this.#duties];
    for (const duty of duties) duty.startTerm();
    if (await sleep(leaseDurationMs, signal)) {
      while (
        lease.isHeld &&
        !this.#isImpeded &&
        (await sleep(stepIntervalMs, signal))
      ) {
        for (const duty of duties) void this.#takeStep(duty, authority);
      }
    }
    if (stopSignal.aborted || this.#isImpeded) await leases.releaseLease(lease);
  }

  #createAuthority(lease: Lease, signal: AbortSignal): DutyAuthority {
    const { table, registry, log, random } = this.#options;
    return new DutyAuthority({
      table,
      lease,
      self: registry.self.name,
      signal,
      log,
      random,
    });
  }

  /** Takes a step of the duty unless its previous one is still pending. */
  async #takeStep(duty: Duty, authority: DutyAuthority): Promise<void> {
    if (this.#pendingDuties.has(duty)) return;
    this.#pendingDuties.add(duty);
    try {
      await duty.takeStep(authority);
    } catch (error) {
      const { message } = toFailure(error);
      this.#options.log.writeEvent('step_failed', {
        step: duty.name,
        reason: message,
      });
    } finally {
      this.#pendingDuties.delete(duty);
    }
  }
}
