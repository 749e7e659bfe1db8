/** Notices when this process, and with it every judgement of time, stood still. */

const checkIntervalMs = 100;

export class StallDetector {
  #longestIntervalMs = 0;
  #lastCheckMs = performance.now();
  readonly #timer: NodeJS.Timeout;

  constructor() {
    this.#timer = setInterval(() => {
      this.#recordInterval();
    }, checkIntervalMs);
  }

  /** Ends the watch; the longest time without a tick. */
  stop(): number {
    clearInterval(this.#timer);
    this.#recordInterval();
    return this.#longestIntervalMs;
  }

  #recordInterval(): void {
    const nowMs = performance.now();
    this.#longestIntervalMs = Math.max(
      this.#longestIntervalMs,
      nowMs - this.#lastCheckMs,
    );
    this.#lastCheckMs = nowMs;
  }
}
