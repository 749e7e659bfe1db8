/**
 * Measures stalls of this process, which distort every time that the soak test
 * measures.
 */

/** Timer interval in milliseconds. */
const checkIntervalMs = 100;

/**
 * Measures the longest interval between two timer ticks from its construction
 * on.
 */
export class StallDetector {
  #longestIntervalMs = 0;
  #lastCheckMs = performance.now();
  readonly #timer: NodeJS.Timeout;

  constructor() {
    this.#timer = setInterval(() => {
      this.#recordInterval();
    }, checkIntervalMs);
  }

  /**
   * Stops the timer; returns the longest interval between two ticks in
   * milliseconds.
   */
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
