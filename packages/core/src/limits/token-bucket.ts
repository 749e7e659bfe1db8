/** Token bucket that refills continuously at a rate of tokens per minute. */
export class TokenBucket {
  #tokens: number;
  #updatedAtMs: number;

  /**
   * Creates a full bucket, whose capacity is the number of tokens that are
   * refilled in one minute.
   */
  constructor(private tokensPerMinute: number) {
    this.#tokens = tokensPerMinute;
    this.#updatedAtMs = Date.now();
  }

  /**
   * Changes the refill rate and the capacity to the given number of tokens per
   * minute.
   */
  setRate(tokensPerMinute: number): void {
    this.#refillTokens();
    this.tokensPerMinute = tokensPerMinute;
    this.#tokens = Math.min(this.#tokens, tokensPerMinute);
  }

  /**
   * Takes the tokens and returns 0, or takes nothing and returns the
   * milliseconds until enough tokens are available. A request larger than the
   * capacity is accepted when the bucket is full, and its excess is refilled
   * before the next request.
   */
  takeTokens(tokens: number): number {
    this.#refillTokens();
    const requiredTokens = Math.min(tokens, this.tokensPerMinute);
    if (this.#tokens >= requiredTokens) {
      this.#tokens -= tokens;
      return 0;
    }
    return Math.ceil(
      ((requiredTokens - this.#tokens) / this.tokensPerMinute) * msPerMinute,
    );
  }

  /** Returns the tokens of a request that was refused after it took them. */
  returnTokens(tokens: number): void {
    this.#tokens = Math.min(this.tokensPerMinute, this.#tokens + tokens);
  }

  #refillTokens(): void {
    const nowMs = Date.now();
    const refilledTokens =
      ((nowMs - this.#updatedAtMs) / msPerMinute) * this.tokensPerMinute;
    this.#tokens = Math.min(
      this.tokensPerMinute,
      this.#tokens + refilledTokens,
    );
    this.#updatedAtMs = nowMs;
  }
}

const msPerMinute = 60_000;
