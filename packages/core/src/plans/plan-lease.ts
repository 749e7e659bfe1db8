/** The lease under which one instance carries a data centre's plans on. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import type { LeaseManager } from '../authority/lease-manager.js';
import type { Lease } from '../authority/lease.js';

export interface PlanLeaseOptions {
  readonly leases: LeaseManager;
  readonly dataCenter: string;
}

export class PlanLease {
  readonly #options: PlanLeaseOptions;
  #currentLease: Lease | undefined;

  constructor(options: PlanLeaseOptions) {
    this.#options = options;
  }

  /** The lease when this instance has or gets it. */
  async acquireLease(): Promise<Maybe<Lease>> {
    if (this.#currentLease?.isHeld === true) return Just(this.#currentLease);
    const { leases, dataCenter } = this.#options;
    const outcome = await leases.acquireLease(`plans/${dataCenter}`);
    this.#currentLease = outcome.toMaybe().extract();
    return this.#currentLease === undefined
      ? Nothing
      : Just(this.#currentLease);
  }

  /** Lets another instance take it at once. */
  async releaseLease(): Promise<void> {
    const lease = this.#currentLease;
    this.#currentLease = undefined;
    if (lease?.isHeld === true) await this.#options.leases.releaseLease(lease);
  }
}
