/** Map whose entries expire, and whose oldest entries give way when it is full. */

interface Entry<V> {
  readonly value: V;
  /** Monotonic milliseconds. */
  readonly expiresAtMs: number;
}

/** Lifetime and number of entries. */
export interface ExpiringMapOptions {
  readonly ttlMs: number;
  readonly maxEntries: number;
}

/** Keeps each value for the same time from when it was last set. */
export class ExpiringMap<K, V> {
  /** In the order in which the entries were set, and so expire. */
  readonly #entries = new Map<K, Entry<V>>();

  constructor(private readonly options: ExpiringMapOptions) {}

  get(key: K): V | undefined {
    const entry = this.#entries.get(key);
    return entry !== undefined && entry.expiresAtMs > performance.now()
      ? entry.value
      : undefined;
  }

  set(key: K, value: V): void {
    const nowMs = performance.now();
    this.#entries.delete(key);
    this.#entries.set(key, { value, expiresAtMs: nowMs + this.options.ttlMs });
    for (const [oldest, { expiresAtMs }] of this.#entries) {
      const isFull = this.#entries.size > this.options.maxEntries;
      if (!isFull && expiresAtMs > nowMs) return;
      this.#entries.delete(oldest);
    }
  }
}
