/**
 * Chooses the instance that gathers the news of a data centre: the first by
 * name of those that answer. Each instance chooses for itself; while they
 * differ, there are two hubs, each with the news of some.
 */

/** A hub that says nothing for so long after it was told is passed over. */
const silenceMs = 900;

/** It is tried again after this time. */
const distrustMs = 5_000;

/** Which instances may be relied on as hubs. */
export class HubChoice {
  readonly #distrustedUntilMs = new Map<string, number>();
  readonly #toldSinceMs = new Map<string, number>();

  /** The hub among the names, which are sorted. */
  choose(names: readonly string[]): string | undefined {
    const nowMs = performance.now();
    const trusted = names.find(
      name => (this.#distrustedUntilMs.get(name) ?? 0) <= nowMs,
    );
    return trusted ?? names[0];
  }

  /** Notes that the hub was told something, and ought to answer. */
  told(name: string): void {
    const nowMs = performance.now();
    const sinceMs = this.#toldSinceMs.get(name);
    if (sinceMs === undefined) {
      this.#toldSinceMs.set(name, nowMs);
      return;
    }
    if (nowMs - sinceMs < silenceMs) return;
    this.#toldSinceMs.delete(name);
    this.#distrustedUntilMs.set(name, nowMs + distrustMs);
  }

  /** Notes a sign of life of the hub. */
  heard(name: string): void {
    this.#toldSinceMs.delete(name);
    this.#distrustedUntilMs.delete(name);
  }
}
