/** Runs tasks of the same key one after the other. */
export class SerialTasks {
  readonly #last = new Map<string, Promise<unknown>>();

  run<T>(key: string, task: () => Promise<T>): Promise<T> {
    const earlier = this.#last.get(key) ?? Promise.resolve();
    const running = earlier.then(task, task);
    this.#last.set(key, running);
    const forget = () => {
      if (this.#last.get(key) === running) this.#last.delete(key);
    };
    running.then(forget, forget);
    return running;
  }
}
