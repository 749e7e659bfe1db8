/**
 * Counts the running requests of one service at this instance and averages
 * their run time.
 */

/** Weight of the newest run time in the moving average. */
const smoothingFactor = 0.1;

/** Running requests of one service, in total and for each customer. */
export class ServiceConcurrency {
  readonly #runningByCustomer = new Map<string, number>();
  #runningCount = 0;
  #averageRunMs: number | undefined;

  /** Number of running requests of all customers. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /**
   * Moving average of the run time in milliseconds; `undefined` until a request
   * has ended.
   */
  get averageRunMs(): number | undefined {
    return this.#averageRunMs;
  }

  /** Returns the number of running requests of one customer. */
  countRunning(customer: string): number {
    return this.#runningByCustomer.get(customer) ?? 0;
  }

  /**
   * Counts a request as running until the returned function is called. The
   * function returns false, and does nothing, on further calls.
   */
  startRequest(customer: string): () => boolean {
    const startedAtMs = Date.now();
    this.#runningCount += 1;
    this.#runningByCustomer.set(customer, this.countRunning(customer) + 1);
    let hasEnded = false;
    return () => {
      if (hasEnded) return false;
      hasEnded = true;
      this.#endRequest(customer, Date.now() - startedAtMs);
      return true;
    };
  }

  #endRequest(customer: string, runMs: number): void {
    this.#runningCount -= 1;
    const remaining = this.countRunning(customer) - 1;
    if (remaining > 0) this.#runningByCustomer.set(customer, remaining);
    else this.#runningByCustomer.delete(customer);
    const previousMs = this.#averageRunMs ?? runMs;
    this.#averageRunMs = previousMs + smoothingFactor * (runMs - previousMs);
  }
}
