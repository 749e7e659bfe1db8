/** Running and recent requests of this instance, for operators. */
import { LRUCache } from 'lru-cache';

import type { Failure } from '@medlarlever/core';

const maxEntries = 1_000;

/** One request as operators see it; bodies and keys are not kept. */
export interface RequestEntry {
  readonly id: string;
  readonly customer: string;
  /** `models` or the plain service. */
  readonly service: string;
  /** Model alias or operation. */
  readonly subject: string;
  readonly revision: number;
  readonly startedAtMs: number;
  readonly endedAtMs?: number;
  /** Absent while it runs. */
  readonly outcome?: 'answered' | Failure['code'];
  readonly executed?: Failure['executed'];
}

export class RequestLog {
  readonly #entries = new LRUCache<string, RequestEntry>({
    max: maxEntries,
  });

  recordStart(entry: RequestEntry): void {
    this.#entries.set(entry.id, entry);
  }

  /** Notes the end; without a failure it was answered. */
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

  /** Newest first, of one customer or of all. */
  list(customer?: string): readonly RequestEntry[] {
    return [...this.#entries.values()].filter(
      entry => customer === undefined || entry.customer === customer,
    );
  }
}
