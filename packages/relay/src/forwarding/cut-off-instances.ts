/** Remembers which other instances have reported that they reach no target. */

/** A report counts for this long; instances that are cut off repeat it sooner. */
const reportTtlMs = 1_500;

/** Names of instances and the times of their last reports. */
export class CutOffInstances {
  readonly #reportedAtMs = new Map<string, number>();

  /** Records the names in a report that has just arrived. */
  record(names: readonly string[]): void {
    const nowMs = performance.now();
    for (const [name, reportedAtMs] of this.#reportedAtMs)
      if (nowMs - reportedAtMs > reportTtlMs) this.#reportedAtMs.delete(name);
    for (const name of names) this.#reportedAtMs.set(name, nowMs);
  }

  has(name: string): boolean {
    const reportedAtMs = this.#reportedAtMs.get(name) ?? -Infinity;
    return performance.now() - reportedAtMs <= reportTtlMs;
  }
}
