/** Keeps a list of running and recent requests of this instance in memory. */
import { LRUCache } from 'lru-cache';

import type { Failure } from '@medlarlever/core';

/** The least recently used entry is dropped when a further one is added. */
const maxEntries = 1_000;

/**
 * One request as the operators' interface returns it. Request bodies and keys
 * are not stored. Times are in milliseconds since the Unix epoch.
 */
export interface RequestEntry {
  readonly id: string;
  readonly customer: string;
  /** Name of the service; `models` for generations. */
  readonly service: string;
  /** Name of the model or of the operation. */
  readonly subject: string;
  /** Revision of the configuration that applied when the request arrived. */
  readonly revision: number;
  readonly startedAtMs: number;
  readonly endedAtMs?: number;
  /** Absent while the request is running. */
  readonly outcome?: 'answered' | Failure['code'];
  readonly executed?: Failure['executed'];
}

/** The most recent requests of this instance, running or ended. */
export class RequestLog {
  readonly #entries = new LRUCache<string, RequestEntry>({
    max: maxEntries,
  });

  recordStart(entry: RequestEntry): void {
    this.#entries.set(entry.id, entry);
  }

  /**
   * Records the end of a request; without `failure` its outcome is `answered`.
   * Ignores requests whose entry has been dropped.
   */
  recordEnd(id: string, failure?: Failure): void {
    const entry = this.#entries.peek(id);
    if (entry === undefined) return;
    this.#entries.set(id, {
      ...entry,
      endedAtMs: Date.now(),
      outcome: failure?.code ?? 'answered',
      executed: failure?.executed,
    });
  }

  /** Lists requests, latest update first, of one customer or of all customers. */
  list(customer?: string): readonly RequestEntry[] {
    return [...this.#entries.values()].filter(
      entry => customer === undefined || entry.customer === customer,
    );
  }
}
