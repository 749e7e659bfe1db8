/**
 * Tracks the era of the platform's store. The era rises by one each time the
 * store is restored from a backup that lacks its latest writes.
 */

import { setMaxListeners } from 'node:events';

/** A restore of the store, as seen by this process. */
export interface EraChange {
  /** Era before the restore. */
  readonly previousEra: number;
  readonly era: number;
}

type EraListener = (change: EraChange) => void;

/** Creates a controller to whose signal any number of pending calls may listen. */
const createEndController = (): AbortController => {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
};

/** Holds the newest era that any answer of the store has named. */
export class EraTracker {
  readonly #listeners: EraListener[] = [];
  #era: number | undefined;
  #sinceMs = performance.now();
  #endController = createEndController();
  #changeCount = 0;

  /** Newest known era; 0 while no answer has named one. */
  get currentEra(): number {
    return this.#era ?? 0;
  }

  /**
   * Time at which this process first saw the current era, in milliseconds of the
   * monotonic clock.
   */
  get sinceMs(): number {
    return this.#sinceMs;
  }

  /** Aborts when a later era is seen. */
  get endSignal(): AbortSignal {
    return this.#endController.signal;
  }

  /** Number of restores that this process has seen. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** Calls the listener after each restore, before the answer that showed it is used. */
  onChange(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Records the era of an answer. Returns false for an era that has ended: the
   * answer is older than the restore, and what it says no longer holds.
   */
  recordEra(era: number): boolean {
    const previousEra = this.#era;
    if (previousEra === era) return true;
    if (previousEra !== undefined && era < previousEra) return false;
    this.#era = era;
    this.#sinceMs = performance.now();
    if (previousEra === undefined) return true;
    this.#changeCount += 1;
    const endedController = this.#endController;
    this.#endController = createEndController();
    endedController.abort();
    for (const listener of this.#listeners) listener({ previousEra, era });
    return true;
  }
}
