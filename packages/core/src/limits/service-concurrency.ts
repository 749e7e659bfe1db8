/** The running requests of one service at this instance. */

/** Weight of the newest hold time in the average. */
const smoothingFactor = 0.1;

export class ServiceConcurrency {
  readonly #runningByCustomer = new Map<string, number>();
  #runningCount = 0;
  #averageRunMs: number | undefined;

  /** Requests running for all customers. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Moving average of how long a place is held; undefined before any. */
  get averageRunMs(): number | undefined {
    return this.#averageRunMs;
  }

  /** Requests running for one customer. */
  countRunning(customer: string): number {
    return this.#runningByCustomer.get(customer) ?? 0;
  }

  /** Takes a place; the function returned gives it back once. */
  startRequest(customer: string): () => boolean {
    const startedMs = Date.now();
    this.#runningCount += 1;
    this.#runningByCustomer.set(customer, this.countRunning(customer) + 1);
    let released = false;
    return () => {
      if (released) return false;
      released = true;
      this.#endRequest(customer, Date.now() - startedMs);
      return true;
    };
  }

  #endRequest(customer: string, heldMs: number): void {
    this.#runningCount -= 1;
    const left = this.countRunning(customer) - 1;
    if (left > 0) this.#runningByCustomer.set(customer, left);
    else this.#runningByCustomer.delete(customer);
    const known = this.#averageRunMs ?? heldMs;
    this.#averageRunMs = known + smoothingFactor * (heldMs - known);
  }
}
