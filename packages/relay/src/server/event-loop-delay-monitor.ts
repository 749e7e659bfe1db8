/** How far this process is behind with what has arrived on its sockets. */

const probeMs = 50;

/** What waited during a delay is read over the next turns, not in one. */
const keptShare = 0.5;

/** Delay of the event loop, from a timer that ought to fire on time. */
export class LoopDelay {
  #dueMs = Infinity;
  #lastMs = 0;
  #timer: NodeJS.Timeout | undefined;

  start(): void {
    this.#dueMs = performance.now() + probeMs;
    this.#timer = setTimeout(() => {
      this.#lastMs = Math.max(this.#lateMs, this.#lastMs * keptShare);
      this.start();
    }, probeMs);
    this.#timer.unref();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#dueMs = Infinity;
  }

  /** Longest time that something read now may have waited to be read. */
  get currentMs(): number {
    return Math.max(this.#lastMs, this.#lateMs);
  }

  get #lateMs(): number {
    return Math.max(0, performance.now() - this.#dueMs);
  }
}
