/** The running requests of one service at this instance. */

/** Weight of the newest hold time in the average. */
const newestWeight = 0.1;

export class ServicePlaces {
  readonly #running = new Map<string, number>();
  #total = 0;
  #holdMs: number | undefined;

  /** Requests running for all customers. */
  get total(): number {
    return this.#total;
  }

  /** Moving average of how long a place is held; undefined before any. */
  get holdMs(): number | undefined {
    return this.#holdMs;
  }

  /** Requests running for one customer. */
  runningOf(customer: string): number {
    return this.#running.get(customer) ?? 0;
  }

  /** Takes a place; the function returned gives it back once. */
  take(customer: string): () => boolean {
    const startedMs = Date.now();
    this.#total += 1;
    this.#running.set(customer, this.runningOf(customer) + 1);
    let released = false;
    return () => {
      if (released) return false;
      released = true;
      this.#release(customer, Date.now() - startedMs);
      return true;
    };
  }

  #release(customer: string, heldMs: number): void {
    this.#total -= 1;
    const left = this.runningOf(customer) - 1;
    if (left > 0) this.#running.set(customer, left);
    else this.#running.delete(customer);
    const known = this.#holdMs ?? heldMs;
    this.#holdMs = known + newestWeight * (heldMs - known);
  }
}
