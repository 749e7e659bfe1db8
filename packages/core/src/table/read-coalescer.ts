/** Joins equal reads without ever answering from before a caller asked. */

/**
 * Callers that ask while an equal read is under way share the next one: a
 * read that began earlier could miss a write that the caller already knows of.
 */
export class ReadCoalescer {
  readonly #runningReads = new Map<string, Promise<unknown>>();
  readonly #waitingReads = new Map<string, Promise<unknown>>();

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
