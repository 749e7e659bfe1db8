/** Joins equal reads without ever answering from before a caller asked. */

/**
 * Callers that ask while an equal read is under way share the next one: a
 * read that began earlier could miss a write that the caller already knows of.
 */
export class ReadCoalescer {
  readonly #running = new Map<string, Promise<unknown>>();
  readonly #waiting = new Map<string, Promise<unknown>>();

  run<T>(id: string, read: () => Promise<T>): Promise<T> {
    const waiting = this.#waiting.get(id) as Promise<T> | undefined;
    if (waiting !== undefined) return waiting;
    const running = this.#running.get(id);
    if (running === undefined) return this.#start(id, read);
    const next = running.then(() => {
      this.#waiting.delete(id);
      return this.#start(id, read);
    });
    this.#waiting.set(id, next);
    return next;
  }

  #start<T>(id: string, read: () => Promise<T>): Promise<T> {
    const running = read().finally(() => {
      if (this.#running.get(id) === running) this.#running.delete(id);
    });
    this.#running.set(id, running);
    return running;
  }
}
