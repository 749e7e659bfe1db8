/** Merges equal concurrent reads. */

/**
 * Runs at most one read per id at a time. Callers that arrive while a read of
 * the same id runs share the next read, because the running one may have begun
 * before a write that they already know of.
 */
export class ReadCoalescer {
  readonly #runningReads = new Map<string, Promise<unknown>>();
  readonly #waitingReads = new Map<string, Promise<unknown>>();

  /** Runs `read` or shares the next read with the same id. */
  runRead<T>(id: string, read: () => Promise<T>): Promise<T> {
    const waiting = this.#waitingReads.get(id) as Promise<T> | undefined;
    if (waiting !== undefined) return waiting;
    const running = this.#runningReads.get(id);
    if (running === undefined) return this.#startRead(id, read);
    const next = running.then(() => {
      this.#waitingReads.delete(id);
      return this.#startRead(id, read);
    });
    this.#waitingReads.set(id, next);
    return next;
  }

  #startRead<T>(id: string, read: () => Promise<T>): Promise<T> {
    const running = read().finally(() => {
      if (this.#runningReads.get(id) === running) this.#runningReads.delete(id);
    });
    this.#runningReads.set(id, running);
    return running;
  }
}
