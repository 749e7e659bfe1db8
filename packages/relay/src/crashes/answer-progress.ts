/** Tells whether the target of a send has begun the answer and lived on. */

/** A prompt that crashes targets ends them sooner than this after the first event. */
const survivalMs = 250;

/** Follows the events of one send. */
export class AnswerProgress {
  #firstEventAtMs: number | undefined;
  #hasSurvived = false;

  /** `onSurvival` is called once the target has lived on after it began the answer. */
  constructor(private readonly onSurvival: () => void) {}

  /** True while the answer may be what ends the target. */
  get isSuspect(): boolean {
    return !this.#hasSurvived;
  }

  /** Records that an event has just arrived. */
  recordEvent(): void {
    const nowMs = performance.now();
    this.#firstEventAtMs ??= nowMs;
    if (nowMs - this.#firstEventAtMs >= survivalMs) this.#recordSurvival();
  }

  /** Records that the answer is complete. */
  complete(): void {
    if (this.#firstEventAtMs !== undefined) this.#recordSurvival();
  }

  #recordSurvival(): void {
    if (this.#hasSurvived) return;
    this.#hasSurvived = true;
    this.onSurvival();
  }
}
