/**
 * This instance's share of the retries that the deployment allows a service:
 * a ratio of its own requests and an equal part of a fixed allowance, both
 * over a sliding window.
 */

/** Part of the allowance that is used, as instances count differently. */
const usedPart = 0.8;

/** Steps by which the window slides. */
const slots = 10;

export interface RetryWindowOptions {
  readonly windowMs: number;
  /** What the deployment allows; asked at each decision. */
  readonly allowed: () => AllowedRetries;
}

export interface AllowedRetries {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries of the whole deployment besides. */
  readonly allowance: number;
  /** Instances that share the allowance. */
  readonly instances: number;
}

interface Slot {
  readonly index: number;
  requests: number;
  retries: number;
}

export class RetryWindow {
  readonly #options: RetryWindowOptions;
  readonly #slots: Slot[] = [];

  constructor(options: RetryWindowOptions) {
    this.#options = options;
  }

  /** Counts a request of the service. */
  request(): void {
    this.#current().requests += 1;
  }

  /** Counts a retry that needs no permission, or was taken. */
  spend(): void {
    this.#current().retries += 1;
  }

  /** Takes a retry if one is left. */
  take(): boolean {
    if (this.left < 1) return false;
    this.spend();
    return true;
  }

  /** Retries left in the window. */
  get left(): number {
    this.#current();
    const { ratio, allowance, instances } = this.#options.allowed();
    const requests = this.#sum(slot => slot.requests);
    const retries = this.#sum(slot => slot.retries);
    const share = allowance / Math.max(1, instances);
    return usedPart * (ratio * requests + share) - retries;
  }

  #sum(count: (slot: Slot) => number): number {
    return this.#slots.reduce((sum, slot) => sum + count(slot), 0);
  }

  #current(): Slot {
    const slotMs = this.#options.windowMs / slots;
    const index = Math.floor(performance.now() / slotMs);
    while (this.#slots[0] && this.#slots[0].index <= index - slots) {
      this.#slots.shift();
    }
    const last = this.#slots.at(-1);
    if (last?.index === index) return last;
    const slot = { index, requests: 0, retries: 0 };
    this.#slots.push(slot);
    return slot;
  }
}
