/** Records the arrival times of the tokens of one answer. */
export class TokenTimes {
  /** True if prefill and decode ran as separate stages. */
  isSplit = false;
  readonly #startedAtMs = Date.now();
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #tokenCount = 0;

  /** Records a token that arrives now. */
  recordToken(): void {
    const now = Date.now();
    this.#firstTokenAtMs ??= now;
    this.#lastTokenAtMs = now;
    this.#tokenCount += 1;
  }

  /**
   * Returns the milliseconds from creation of this object to the first token, and
   * the mean milliseconds between tokens. A value is absent if there are too few
   * tokens.
   */
  summarize(): {
    readonly firstTokenMs?: number;
    readonly tokenGapMs?: number;
  } {
    if (this.#firstTokenAtMs === undefined) return {};
    const firstTokenMs = this.#firstTokenAtMs - this.#startedAtMs;
    if (this.#tokenCount < 2) return { firstTokenMs };
    const spanMs = this.#lastTokenAtMs - this.#firstTokenAtMs;
    return { firstTokenMs, tokenGapMs: spanMs / (this.#tokenCount - 1) };
  }
}
