/** The lease under which one instance carries a data centre's plans on. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import type { LeaseKeeper } from '../authority/lease-manager.js';
import type { Lease } from '../authority/lease.js';

export interface PlanLeaseOptions {
  readonly leases: LeaseKeeper;
  readonly dataCenter: string;
}

export class PlanLease {
  readonly #options: PlanLeaseOptions;
  #lease: Lease | undefined;

  constructor(options: PlanLeaseOptions) {
    this.#options = options;
  }

  /** The lease when this instance has or gets it. */
  async take(): Promise<Maybe<Lease>> {
    if (this.#lease?.held === true) return Just(this.#lease);
    const { leases, dataCenter } = this.#options;
    const outcome = await leases.acquire(`plans/${dataCenter}`);
    this.#lease = outcome.toMaybe().extract();
    return this.#lease === undefined ? Nothing : Just(this.#lease);
  }

  /** Lets another instance take it at once. */
  async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease?.held === true) await this.#options.leases.release(lease);
  }
}
