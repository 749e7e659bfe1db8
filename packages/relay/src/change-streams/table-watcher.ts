/** Follows a table through outages, lost history and silent connections. */
import type { Log } from '@medlarlever/core';
import { addJitter, sleep } from '@medlarlever/core';
import type { Failure } from '@medlarlever/core';

import type { ChangePage, ChangedRow, ChangeStream } from './change-stream.js';

const minBackoffMs = 50;
const maxBackoffMs = 600;

export interface TableWatcherOptions {
  readonly changeStream: ChangeStream;
  readonly log: Log;
  readonly random: () => number;
  /** How long the platform may hold a question for changes. */
  readonly waitMs: number;
  /** A row is new or changed; an undefined value means that it was removed. */
  readonly onRowChange: (row: ChangedRow) => void;
  /** The whole table was read again: rows of other keys are gone. */
  readonly onSnapshot: (
    keys: ReadonlySet<string>,
    afterOutage: boolean,
  ) => void;
}

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

  /** Name of the table. */
  get name(): string {
    return this.#options.changeStream.name;
  }

  /** True while the platform answers. */
  get isConnected(): boolean {
    return this.#consecutiveFailures === 0 && this.#lastPosition !== undefined;
  }

  /** True while the row is known to exist. */
  hasRow(key: string): boolean {
    return this.#positionsByKey.has(key) && !this.#removedKeys.has(key);
  }

  /** Follows until the signal aborts. */
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
    const listed = await this.#options.changeStream.listRows();
    return listed.caseOf({
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
    const { changeStream: feed, waitMs } = this.#options;
    const changes = await feed.waitForChanges(after, waitMs);
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

  /** A list that is older than what is known proves nothing. */
  #applySnapshot(page: ChangePage, afterOutage: boolean): void {
    const newest = Math.max(0, ...this.#positionsByKey.values());
    this.#applyPage(page);
    if (page.position < newest) return;
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
    const held = this.#positionsByKey.get(row.key) ?? -1;
    if (row.position <= held) return;
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
