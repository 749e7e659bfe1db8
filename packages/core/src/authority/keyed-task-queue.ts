/** Runs tasks of the same key one after the other. */
export class KeyedTaskQueue {
  readonly #lastTasks = new Map<string, Promise<unknown>>();

  runTask<T>(key: string, task: () => Promise<T>): Promise<T> {
    const earlier = this.#lastTasks.get(key) ?? Promise.resolve();
    const running = earlier.then(task, task);
    this.#lastTasks.set(key, running);
    const forget = () => {
      if (this.#lastTasks.get(key) === running) this.#lastTasks.delete(key);
    };
    running.then(forget, forget);
    return running;
  }
}
