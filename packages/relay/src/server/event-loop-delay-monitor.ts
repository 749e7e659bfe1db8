/** How far this process is behind with what has arrived on its sockets. */

const probeIntervalMs = 50;

/** What waited during a delay is read over the next turns, not in one. */
const delayDecayFactor = 0.5;

/** Delay of the event loop, from a timer that ought to fire on time. */
export class EventLoopDelayMonitor {
  #timerDueAtMs = Infinity;
  #recentMaxDelayMs = 0;
  #timer: NodeJS.Timeout | undefined;

  start(): void {
    this.#timerDueAtMs = performance.now() + probeIntervalMs;
    this.#timer = setTimeout(() => {
      this.#recentMaxDelayMs = Math.max(
        this.#timerDelayMs,
        this.#recentMaxDelayMs * delayDecayFactor,
      );
      this.start();
    }, probeIntervalMs);
    this.#timer.unref();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timerDueAtMs = Infinity;
  }

  /** Longest time that something read now may have waited to be read. */
  get currentDelayMs(): number {
    return Math.max(this.#recentMaxDelayMs, this.#timerDelayMs);
  }

  get #timerDelayMs(): number {
    return Math.max(0, performance.now() - this.#timerDueAtMs);
  }
}
