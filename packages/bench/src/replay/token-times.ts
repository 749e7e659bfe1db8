/** When the tokens of one answer came. */
export class TokenTimes {
  split = false;
  readonly #startMs = Date.now();
  #firstMs: number | undefined;
  #lastMs = 0;
  #tokens = 0;

  /** Counts a token that comes now. */
  token(): void {
    const now = Date.now();
    this.#firstMs ??= now;
    this.#lastMs = now;
    this.#tokens += 1;
  }

  summary(): { readonly firstTokenMs?: number; readonly tokenGapMs?: number } {
    if (this.#firstMs === undefined) return {};
    const firstTokenMs = this.#firstMs - this.#startMs;
    if (this.#tokens < 2) return { firstTokenMs };
    const spanMs = this.#lastMs - this.#firstMs;
    return { firstTokenMs, tokenGapMs: spanMs / (this.#tokens - 1) };
  }
}
