/**
 * Selects the aggregator of a data centre: the responsive instance whose name
 * sorts first. Each instance selects independently. While their selections
 * differ, the data centre has several aggregators, each with the reports of
 * some members.
 */

/** An aggregator that sends nothing for this long after a report is excluded. */
const unresponsiveTimeoutMs = 900;

/** An excluded aggregator is eligible again after this time. */
const unresponsiveExclusionMs = 5_000;

/** Tracks which instances are responsive enough to be the aggregator. */
export class AggregatorSelector {
  /** End of the exclusion by instance, on the monotonic clock. */
  readonly #excludedUntilMs = new Map<string, number>();
  /** Time of the first unanswered report by instance, on the monotonic clock. */
  readonly #unansweredSinceMs = new Map<string, number>();

  /**
   * Returns the first name that is not excluded, or the first name if all are.
   * `names` must be sorted; an empty list gives `undefined`.
   */
  selectAggregator(names: readonly string[]): string | undefined {
    const nowMs = performance.now();
    const responsive = names.find(
      name => (this.#excludedUntilMs.get(name) ?? 0) <= nowMs,
    );
    return responsive ?? names[0];
  }

  /** Records that a report was sent to the aggregator, which should answer. */
  recordSent(name: string): void {
    const nowMs = performance.now();
    const unansweredSinceMs = this.#unansweredSinceMs.get(name);
    if (unansweredSinceMs === undefined) {
      this.#unansweredSinceMs.set(name, nowMs);
      return;
    }
    if (nowMs - unansweredSinceMs < unresponsiveTimeoutMs) return;
    this.#unansweredSinceMs.delete(name);
    this.#excludedUntilMs.set(name, nowMs + unresponsiveExclusionMs);
  }

  /** Records that a message came from the aggregator, which ends its exclusion. */
  recordReceived(name: string): void {
    this.#unansweredSinceMs.delete(name);
    this.#excludedUntilMs.delete(name);
  }
}
