/** When the tokens of one answer came. */
export class TokenTimes {
  isSplit = false;
  readonly #startedAtMs = Date.now();
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #tokenCount = 0;

  /** Counts a token that comes now. */
  recordToken(): void {
    const now = Date.now();
    this.#firstTokenAtMs ??= now;
    this.#lastTokenAtMs = now;
    this.#tokenCount += 1;
  }

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
