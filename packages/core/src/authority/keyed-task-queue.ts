/** Queues of tasks by key. */

/** Runs the tasks of each key one at a time, in the order of submission. */
export class KeyedTaskQueue {
  readonly #lastTasks = new Map<string, Promise<unknown>>();

  /**
   * Runs the task after all earlier tasks of the key have ended, also if they
   * failed.
   */
  runTask<T>(key: string, task: () => Promise<T>): Promise<T> {
    const previousTask = this.#lastTasks.get(key) ?? Promise.resolve();
    const currentTask = previousTask.then(task, task);
    this.#lastTasks.set(key, currentTask);
    const removeIfLast = () => {
      if (this.#lastTasks.get(key) === currentTask) this.#lastTasks.delete(key);
    };
    currentTask.then(removeIfLast, removeIfLast);
    return currentTask;
  }
}
