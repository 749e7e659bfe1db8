/** The lease that lets one instance advance the plans of a data centre. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import type { Leases } from '../authority/leases.js';
import type { Lease } from '../authority/lease.js';

export interface PlanLeaseOptions {
  readonly leases: Leases;
  readonly dataCenter: string;
}

/** Acquires the lease when it is free and keeps it until released. */
export class PlanLease {
  readonly #options: PlanLeaseOptions;
  #currentLease: Lease | undefined;

  constructor(options: PlanLeaseOptions) {
    this.#options = options;
  }

  /** Returns the lease, or `Nothing` when it cannot be acquired now. */
  async acquireLease(): Promise<Maybe<Lease>> {
    if (this.#currentLease?.isHeld === true) return Just(this.#currentLease);
    const { leases, dataCenter } = this.#options;
    const outcome = await leases.acquireLease(`plans/${dataCenter}`);
    this.#currentLease = outcome.toMaybe().extract();
    return this.#currentLease === undefined
      ? Nothing
      : Just(this.#currentLease);
  }

  /** Releases the lease, so that another instance can acquire it at once. */
  async releaseLease(): Promise<void> {
    const lease = this.#currentLease;
    this.#currentLease = undefined;
    if (lease?.isHeld === true) await this.#options.leases.releaseLease(lease);
  }
}
