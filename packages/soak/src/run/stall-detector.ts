/** Notices when this process, and with it every judgement of time, stood still. */

const tickMs = 100;

export class StallWatch {
  #longestMs = 0;
  #lastMs = performance.now();
  readonly #timer: NodeJS.Timeout;

  constructor() {
    this.#timer = setInterval(() => {
      this.#look();
    }, tickMs);
  }

  /** Ends the watch; the longest time without a tick. */
  stop(): number {
    clearInterval(this.#timer);
    this.#look();
    return this.#longestMs;
  }

  #look(): void {
    const nowMs = performance.now();
    this.#longestMs = Math.max(this.#longestMs, nowMs - this.#lastMs);
    this.#lastMs = nowMs;
  }
}
