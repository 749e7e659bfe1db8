/** Tells how much of the time the event loop has been busy. */

const msPerSecond = 1_000;

/** Length of the windows that are judged. */
const windowMs = 1_000;

/** Share of a window from which on the event loop counts as busy all the time. */
const saturatedShare = 0.95;

/** Busy and idle time of the event loop since the start, as the runtime measures it. */
export interface EventLoopTimes {
  /** Milliseconds. */
  readonly active: number;
  /** Milliseconds. */
  readonly idle: number;
}

/** A window in which the event loop had no rest. */
export interface SaturatedWindow {
  readonly busyShare: number;
  readonly windowMs: number;
}

/** Reports each window in which the event loop was busy all the time. */
export class EventLoopUsage {
  #windowStart: EventLoopTimes;

  constructor(
    private readonly onSaturated: (window: SaturatedWindow) => void,
    private readonly readTimes = (): EventLoopTimes =>
      performance.eventLoopUtilization(),
  ) {
    this.#windowStart = readTimes();
  }

  /** Seconds for which the event loop has been busy since the start. */
  get busySeconds(): number {
    return this.readTimes().active / msPerSecond;
  }

  /** Judges the window that ends now, if it is long enough. To be called often. */
  update(): void {
    const now = this.readTimes();
    const activeMs = now.active - this.#windowStart.active;
    const elapsedMs = activeMs + now.idle - this.#windowStart.idle;
    if (elapsedMs < windowMs) return;
    this.#windowStart = now;
    const busyShare = activeMs / elapsedMs;
    if (busyShare >= saturatedShare)
      this.onSaturated({ busyShare, windowMs: elapsedMs });
  }
}
