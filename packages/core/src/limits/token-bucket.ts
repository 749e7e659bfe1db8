/** A rate limit that refills steadily. */
export class TokenBucket {
  #tokens: number;
  #updatedMs: number;

  /** Starts full; holds what a minute refills. */
  constructor(private perMinute: number) {
    this.#tokens = perMinute;
    this.#updatedMs = Date.now();
  }

  /** Follows a change of the configured rate. */
  setRate(perMinute: number): void {
    this.#refill();
    this.perMinute = perMinute;
    this.#tokens = Math.min(this.#tokens, perMinute);
  }

  /**
   * Takes the tokens and returns 0, or takes nothing and returns the time to
   * wait. A request larger than the bucket passes when the bucket is full.
   */
  take(tokens: number): number {
    this.#refill();
    const needed = Math.min(tokens, this.perMinute);
    if (this.#tokens >= needed) {
      this.#tokens -= tokens;
      return 0;
    }
    return Math.ceil(((needed - this.#tokens) / this.perMinute) * minuteMs);
  }

  /** Gives back what a refused request had taken. */
  giveBack(tokens: number): void {
    this.#tokens = Math.min(this.perMinute, this.#tokens + tokens);
  }

  #refill(): void {
    const now = Date.now();
    const refilled = ((now - this.#updatedMs) / minuteMs) * this.perMinute;
    this.#tokens = Math.min(this.perMinute, this.#tokens + refilled);
    this.#updatedMs = now;
  }
}

const minuteMs = 60_000;
