/** Measures how late the process reads data that has arrived on its sockets. */

const probeIntervalMs = 50;

/**
 * Interval while the instance is idle. A delay that begins then is measured as up to
 * this much less than it is; nothing is under way that could be late.
 */
const idleProbeIntervalMs = 250;

/** The delay counts as of interest until this long after it was last read. */
const readTtlMs = 1_000;

/**
 * Factor by which a past delay decays at each probe. The data that arrived during
 * a delay is read over several turns of the event loop, not all in one.
 */
const delayDecayFactor = 0.5;

/** Measures the event loop delay as the lateness of a periodic timer. */
export class EventLoopDelayMonitor {
  /** Time at which the timer is due, in milliseconds on the monotonic clock. */
  #timerDueAtMs = Infinity;
  #recentMaxDelayMs = 0;
  #timer: NodeJS.Timeout | undefined;
  #lastReadAtMs = -Infinity;

  /**
   * `isIdle` tells whether the instance has had no requests for a while; `onProbe` is called
   * whenever the delay was measured.
   */
  constructor(
    private readonly isIdle: () => boolean = () => false,
    private readonly onProbe: () => void = () => undefined,
  ) {}

  /** Starts the periodic timer, which does not keep the process alive. */
  start(): void {
    const nowMs = performance.now();
    // Requests that reach no target are no activity, but read the delay.
    const isRead = nowMs - this.#lastReadAtMs < readTtlMs;
    const isResting = !isRead && this.isIdle();
    const intervalMs = isResting ? idleProbeIntervalMs : probeIntervalMs;
    this.#timerDueAtMs = nowMs + intervalMs;
    this.#timer = setTimeout(() => {
      this.#recentMaxDelayMs = Math.max(
        this.#timerDelayMs,
        this.#recentMaxDelayMs * delayDecayFactor,
      );
      this.onProbe();
      this.start();
    }, intervalMs);
    this.#timer.unref();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timerDueAtMs = Infinity;
  }

  /** Longest time in milliseconds for which data read now may have waited. */
  get currentDelayMs(): number {
    this.#lastReadAtMs = performance.now();
    return Math.max(this.#recentMaxDelayMs, this.#timerDelayMs);
  }

  get #timerDelayMs(): number {
    return Math.max(0, performance.now() - this.#timerDueAtMs);
  }
}
