/**
 * Chooses the instance that gathers the news of a data centre: the first by
 * name of those that answer. Each instance chooses for itself; while they
 * differ, there are two hubs, each with the news of some.
 */

/** A hub that says nothing for so long after it was told is passed over. */
const unresponsiveTimeoutMs = 900;

/** It is tried again after this time. */
const unresponsiveExclusionMs = 5_000;

/** Which instances may be relied on as hubs. */
export class AggregatorSelector {
  readonly #excludedUntilMs = new Map<string, number>();
  readonly #unansweredSinceMs = new Map<string, number>();

  /** The hub among the names, which are sorted. */
  selectAggregator(names: readonly string[]): string | undefined {
    const nowMs = performance.now();
    const trusted = names.find(
      name => (this.#excludedUntilMs.get(name) ?? 0) <= nowMs,
    );
    return trusted ?? names[0];
  }

  /** Notes that the hub was told something, and ought to answer. */
  recordSent(name: string): void {
    const nowMs = performance.now();
    const sinceMs = this.#unansweredSinceMs.get(name);
    if (sinceMs === undefined) {
      this.#unansweredSinceMs.set(name, nowMs);
      return;
    }
    if (nowMs - sinceMs < unresponsiveTimeoutMs) return;
    this.#unansweredSinceMs.delete(name);
    this.#excludedUntilMs.set(name, nowMs + unresponsiveExclusionMs);
  }

  /** Notes a sign of life of the hub. */
  recordReceived(name: string): void {
    this.#unansweredSinceMs.delete(name);
    this.#excludedUntilMs.delete(name);
  }
}
