/** A rate limit that refills steadily. */
export class TokenBucket {
  #tokens: number;
  #updatedAtMs: number;

  /** Starts full; holds what a minute refills. */
  constructor(private tokensPerMinute: number) {
    this.#tokens = tokensPerMinute;
    this.#updatedAtMs = Date.now();
  }

  /** Follows a change of the configured rate. */
  setRate(perMinute: number): void {
    this.#refillTokens();
    this.tokensPerMinute = perMinute;
    this.#tokens = Math.min(this.#tokens, perMinute);
  }

  /**
   * Takes the tokens and returns 0, or takes nothing and returns the time to
   * wait. A request larger than the bucket passes when the bucket is full.
   */
  takeTokens(tokens: number): number {
    this.#refillTokens();
    const needed = Math.min(tokens, this.tokensPerMinute);
    if (this.#tokens >= needed) {
      this.#tokens -= tokens;
      return 0;
    }
    return Math.ceil(
      ((needed - this.#tokens) / this.tokensPerMinute) * msPerMinute,
    );
  }

  /** Gives back what a refused request had taken. */
  returnTokens(tokens: number): void {
    this.#tokens = Math.min(this.tokensPerMinute, this.#tokens + tokens);
  }

  #refillTokens(): void {
    const now = Date.now();
    const refilled =
      ((now - this.#updatedAtMs) / msPerMinute) * this.tokensPerMinute;
    this.#tokens = Math.min(this.tokensPerMinute, this.#tokens + refilled);
    this.#updatedAtMs = now;
  }
}

const msPerMinute = 60_000;
