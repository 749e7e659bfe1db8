/** Customers of a run, and when each of their keys was in the configuration. */
import type { SeededRandom } from '../shared/seeded-random.js';

const customerNames = ['customer-a', 'customer-b', 'customer-c'] as const;

/** Share of the requests with a key that was withdrawn shortly before. */
const withdrawnKeyProbability = 0.01;

/** A key that was withdrawn is used for this long. */
const withdrawnKeyUseMs = 10_000;

/** A key of a customer, and the time in which the configuration held it. */
export interface KeyPeriod {
  readonly key: string;
  readonly customer: string;
  readonly fromMs: number;
  /** Infinity until the key is withdrawn. */
  toMs: number;
}

/** Adds and withdraws keys. */
export class CustomerKeys {
  readonly periods: KeyPeriod[] = [];

  constructor() {
    for (const customer of customerNames) this.addKey(customer);
  }

  /** Keys in force by customer, for the configuration. */
  listKeys(): Record<string, string[]> {
    return Object.fromEntries(
      customerNames.map(name => [
        name,
        this.#listValid()
          .filter(({ customer }) => customer === name)
          .map(({ key }) => key),
      ]),
    );
  }

  pickCustomer(random: SeededRandom): string {
    return random.pickItem(customerNames);
  }

  /** Adds a key; it is known to callers at once. */
  addKey(customer: string): void {
    const key = `soak-key-${this.periods.length}`;
    const fromMs = performance.now();
    this.periods.push({ key, customer, fromMs, toMs: Infinity });
  }

  /** Withdraws the oldest key of the customer if it has another one. */
  withdrawOldest(customer: string): void {
    const [oldest, ...others] = this.#listValid().filter(
      period => period.customer === customer,
    );
    if (oldest !== undefined && others.length > 0)
      oldest.toMs = performance.now();
  }

  /** Picks a key for a request, which is rarely one that was withdrawn. */
  pickKey(random: SeededRandom): KeyPeriod {
    const nowMs = performance.now();
    const withdrawn = this.periods.filter(
      ({ toMs }) => toMs < nowMs && nowMs - toMs < withdrawnKeyUseMs,
    );
    const usesWithdrawn = random.nextBoolean(withdrawnKeyProbability);
    return random.pickItem(
      usesWithdrawn && withdrawn.length > 0 ? withdrawn : this.#listValid(),
    );
  }

  #listValid(): KeyPeriod[] {
    return this.periods.filter(({ toMs }) => toMs === Infinity);
  }
}
