/**
 * Watches a platform table, and recovers from outages, expired change history
 * and unresponsive connections.
 */
import type { Log } from '@medlarlever/core';
import { addJitter, sleep } from '@medlarlever/core';
import type { Failure } from '@medlarlever/core';

import type { ChangePage, ChangedRow, ChangeStream } from './change-stream.js';

const minBackoffMs = 50;
const maxBackoffMs = 600;

/** Dependencies and callbacks of {@link TableWatcher}. */
export interface TableWatcherOptions {
  readonly changeStream: ChangeStream;
  readonly log: Log;
  readonly random: () => number;
  /** Maximum time that the platform may hold a long poll for changes. */
  readonly waitMs: number;
  /** Called when a row is added, changed or removed (`value` is undefined). */
  readonly onRowChange: (row: ChangedRow) => void;
  /**
   * Called after the whole table was read. Rows whose keys are not in `keys` no
   * longer exist. `afterOutage` is true if the previous read failed.
   */
  readonly onSnapshot: (
    keys: ReadonlySet<string>,
    afterOutage: boolean,
  ) => void;
}

/** Reads a table once and then waits for its changes, with retries. */
export class TableWatcher {
  readonly #options: TableWatcherOptions;
  readonly #positionsByKey = new Map<string, number>();
  readonly #removedKeys = new Set<string>();
  #lastPosition: number | undefined;
  #consecutiveFailures = 0;
  #hasConnected = false;

  constructor(options: TableWatcherOptions) {
    this.#options = options;
  }

  /** Name of the watched table, for log events and metrics. */
  get name(): string {
    return this.#options.changeStream.name;
  }

  /** True if the last query of the platform succeeded and the table has been read. */
  get isConnected(): boolean {
    return this.#consecutiveFailures === 0 && this.#lastPosition !== undefined;
  }

  /** Returns true if the row exists as of the most recently read changes. */
  hasRow(key: string): boolean {
    return this.#positionsByKey.has(key) && !this.#removedKeys.has(key);
  }

  /** Watches the table until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure =
        this.#lastPosition === undefined
          ? await this.#listRows()
          : await this.#watchChanges(this.#lastPosition);
      if (failure === undefined) continue;
      this.#recordFailure(failure);
      await sleep(this.#getRetryDelayMs(), signal);
    }
  }

  async #listRows(): Promise<Failure | undefined> {
    const snapshot = await this.#options.changeStream.listRows();
    return snapshot.caseOf({
      Left: failure => failure,
      Right: page => {
        const afterOutage = this.#consecutiveFailures > 0;
        this.#recordSuccess();
        this.#applySnapshot(page, afterOutage);
        return undefined;
      },
    });
  }

  async #watchChanges(after: number): Promise<Failure | undefined> {
    const { changeStream, waitMs } = this.#options;
    const changes = await changeStream.waitForChanges(after, waitMs);
    return changes.caseOf({
      Left: failure => failure,
      Right: page => {
        this.#recordSuccess();
        if (page === 'expired') this.#resetPosition();
        else this.#applyPage(page);
        return undefined;
      },
    });
  }

  #resetPosition(): void {
    this.#lastPosition = undefined;
    this.#options.log.writeEvent('feed_expired', {
      feed: this.#options.changeStream.name,
    });
  }

  /**
   * Applies a snapshot. One that is older than the newest known change does not
   * prove that a row was removed, so it removes nothing.
   */
  #applySnapshot(page: ChangePage, afterOutage: boolean): void {
    const newestPosition = Math.max(0, ...this.#positionsByKey.values());
    this.#applyPage(page);
    if (page.position < newestPosition) return;
    const keys = new Set(page.rows.map(row => row.key));
    for (const key of this.#positionsByKey.keys()) {
      if (!keys.has(key)) this.#positionsByKey.delete(key);
    }
    this.#options.onSnapshot(keys, afterOutage);
  }

  #applyPage(page: ChangePage): void {
    for (const row of page.rows) this.#applyRow(row);
    this.#lastPosition = Math.max(this.#lastPosition ?? 0, page.position);
  }

  #applyRow(row: ChangedRow): void {
    const knownPosition = this.#positionsByKey.get(row.key) ?? -1;
    if (row.position <= knownPosition) return;
    this.#positionsByKey.set(row.key, row.position);
    if (row.value === undefined) this.#removedKeys.add(row.key);
    else this.#removedKeys.delete(row.key);
    this.#options.onRowChange(row);
  }

  #recordFailure(failure: Failure): void {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures > 1) return;
    this.#options.log.writeEvent('platform_down', {
      feed: this.#options.changeStream.name,
      reason: failure.message,
    });
  }

  #recordSuccess(): void {
    if (this.#consecutiveFailures > 0 || !this.#hasConnected) {
      this.#hasConnected = true;
      this.#options.log.writeEvent('platform_up', {
        feed: this.#options.changeStream.name,
        failures: this.#consecutiveFailures,
      });
    }
    this.#consecutiveFailures = 0;
  }

  #getRetryDelayMs(): number {
    const exponent = Math.min(10, this.#consecutiveFailures - 1);
    const pauseMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** exponent);
    return addJitter(pauseMs, this.#options.random, 0.5);
  }
}
