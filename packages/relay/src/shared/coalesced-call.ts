/** Shares the runs of an operation among callers that each need one begun after their call. */

/** Runs an operation at most once at a time. */
export class CoalescedCall<T> {
  #running: Promise<T> | undefined;
  #next: Promise<T> | undefined;

  constructor(private readonly operation: () => Promise<T>) {}

  /** Returns the result of a run that begins after this call. */
  run(): Promise<T> {
    this.#next ??= this.#runAfter(this.#running);
    return this.#next;
  }

  async #runAfter(previous: Promise<T> | undefined): Promise<T> {
    await Promise.allSettled([previous]);
    const running = this.operation();
    this.#running = running;
    this.#next = undefined;
    return running;
  }
}
