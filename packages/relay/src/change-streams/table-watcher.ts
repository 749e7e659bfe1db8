/**
 * Watches a platform table, and recovers from outages, expired change history
 * and unresponsive connections.
 */
import type { Log } from '@medlarlever/core';
import { addJitter, sleep, toFailure } from '@medlarlever/core';
import type { Failure } from '@medlarlever/core';

import { logFailedStep, runGuarded } from '../shared/guarded-step.js';

import type {
  ChangePage,
  ChangedRow,
  ChangeStream,
  StreamPosition,
} from './change-stream.js';

const minBackoffMs = 50;
const maxBackoffMs = 600;

/** How a snapshot of a table came about. */
export interface SnapshotOrigin {
  /** True if reads fail, or the rows have not settled since they did. */
  readonly afterOutage: boolean;
  /**
   * True for the first snapshot after a restore of the store. Its rows may be
   * older than those that were known before.
   */
  readonly afterRestore: boolean;
}

/** Dependencies and callbacks of {@link TableWatcher}. */
export interface TableWatcherOptions {
  readonly changeStream: ChangeStream;
  readonly log: Log;
  readonly random: () => number;
  /** Maximum time that the platform may hold a long poll for changes. */
  readonly waitMs: number;
  /** Time after an outage or a restore in which rows may be outdated; 0 by default. */
  readonly settlingMs?: number;
  /**
   * Called when a row is added, changed or removed (`value` is undefined).
   * `afterRestore` is true for the rows of the first snapshot after a restore.
   */
  readonly onRowChange: (row: ChangedRow, afterRestore: boolean) => void;
  /**
   * Called after the whole table was read. Rows whose keys are not in `keys` do
   * not exist.
   */
  readonly onSnapshot: (
    keys: ReadonlySet<string>,
    origin: SnapshotOrigin,
  ) => void;
  /** Called after a page, also a snapshot, once all known rows have been applied. */
  readonly onPage?: (page: ChangePage) => void;
}

/** Reads a table once and then waits for its changes, with retries. */
export class TableWatcher {
  readonly #options: TableWatcherOptions;
  /** Version of each row, in `#era`. */
  readonly #versionsByKey = new Map<string, number>();
  readonly #removedKeys = new Set<string>();
  /** Keys of rows whose latest change failed to apply. */
  readonly #unappliedKeys = new Set<string>();
  /** Era of the last snapshot. */
  #era: number | undefined;
  /** Undefined while the table must be read as a whole. */
  #lastPosition: StreamPosition | undefined;
  #consecutiveFailures = 0;
  #hasConnected = false;
  /** Monotonic time of the last query that succeeded. */
  #lastSuccessMs = -Infinity;
  /** Value of `knownUntilMs` since the last outage or restore, until it is settled. */
  #knownBeforeDoubtMs = Infinity;
  /** Monotonic time since which no row can have come and gone unseen. */
  #historySinceMs = -Infinity;
  /** Monotonic time since which no query has failed; undefined while they fail. */
  #connectedSinceMs: number | undefined;

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

  /**
   * Monotonic milliseconds up to which all changes of the table are known; `Infinity`
   * while they arrive. After an outage it is the time before it until the rows are settled.
   */
  get knownUntilMs(): number {
    if (!this.#hasConnected) return -Infinity;
    const { settlingMs = 0 } = this.#options;
    const isSettled = this.isConnected && this.knownForMs >= settlingMs;
    return isSettled ? Infinity : this.#knownBeforeDoubtMs;
  }

  /** Time for which all changes of the table have been known; 0 while they are not. */
  get knownForMs(): number {
    if (this.#connectedSinceMs === undefined || !this.isConnected) return 0;
    return performance.now() - this.#connectedSinceMs;
  }

  /**
   * Time for which each row that there was has been seen; 0 while changes are not known. A
   * list shows only the rows that are left.
   */
  get historyMs(): number {
    return Math.min(this.knownForMs, performance.now() - this.#historySinceMs);
  }

  /** Position up to which the changes are known; undefined before the first read. */
  get lastPosition(): StreamPosition | undefined {
    return this.#lastPosition;
  }

  /** False while a row that was read is not in force, because applying it failed. */
  get isApplied(): boolean {
    return this.#unappliedKeys.size === 0;
  }

  /** Returns true if the row exists as of the most recently read changes. */
  hasRow(key: string): boolean {
    return this.#versionsByKey.has(key) && !this.#removedKeys.has(key);
  }

  /** Version of the row in the current era; undefined if it is not known. */
  getRowVersion(key: string): number | undefined {
    return this.#versionsByKey.get(key);
  }

  /**
   * Reads the whole table once, beside the watch, and applies what is new. Returns whether
   * the read succeeded.
   */
  async readNow(): Promise<boolean> {
    const snapshot = await this.#options.changeStream.listRows();
    snapshot.ifRight(page => {
      if (this.#lastPosition?.era !== page.position.era)
        this.#lastPosition = undefined;
      this.#applySnapshot(page, this.#isUnsettled);
    });
    return snapshot.isRight();
  }

  /**
   * Reads the changes since the last page, beside the watch, and applies them. Returns
   * whether all changes up to the call are known then.
   */
  async catchUp(): Promise<boolean> {
    const after = this.#lastPosition;
    if (after === undefined) return false;
    const changes = await this.#options.changeStream.listChanges(after);
    const page = changes.orDefault('expired');
    // The watch may have found meanwhile that it has to read the whole table.
    const isContinued = this.#lastPosition?.era === after.era;
    if (page === 'expired' || !isContinued) return false;
    this.#applyPage(page);
    return true;
  }

  /** Watches the table until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure = await this.#readOnce();
      if (failure === undefined) continue;
      this.#recordFailure(failure);
      await sleep(this.#getRetryDelayMs(), signal);
    }
  }

  get #isUnsettled(): boolean {
    return this.#hasConnected && this.knownUntilMs !== Infinity;
  }

  /** Reads once. An unexpected error must not end the watch. */
  async #readOnce(): Promise<Failure | undefined> {
    try {
      return this.#lastPosition === undefined
        ? await this.#listRows()
        : await this.#watchChanges(this.#lastPosition);
    } catch (error) {
      logFailedStep(this.#options.log, `watch of ${this.name}`, error);
      return toFailure(error);
    }
  }

  async #listRows(): Promise<Failure | undefined> {
    const snapshot = await this.#options.changeStream.listRows();
    return snapshot.caseOf({
      Left: failure => failure,
      Right: page => {
        const afterOutage = this.#isUnsettled || this.#consecutiveFailures > 0;
        this.#recordSuccess();
        this.#applySnapshot(page, afterOutage);
        return undefined;
      },
    });
  }

  async #watchChanges(after: StreamPosition): Promise<Failure | undefined> {
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
    const afterRestore = this.#beginEra(page.position.era);
    this.#historySinceMs = performance.now();
    const newestVersion = Math.max(0, ...this.#versionsByKey.values());
    this.#applyPage(page, afterRestore);
    if (page.position.version < newestVersion) return;
    const keys = new Set(page.rows.map(row => row.key));
    for (const key of this.#versionsByKey.keys()) {
      if (!keys.has(key)) this.#versionsByKey.delete(key);
    }
    const { onSnapshot, log } = this.#options;
    runGuarded(log, `snapshot of ${this.name}`, () => {
      onSnapshot(keys, { afterOutage, afterRestore });
    });
  }

  /**
   * Forgets the versions of an earlier era. Returns true if the era is not the
   * first one that this watcher sees.
   */
  #beginEra(era: number): boolean {
    if (this.#era === era) return false;
    const isFirstEra = this.#era === undefined;
    // A restored table lacks the latest changes until they are written again.
    if (!isFirstEra) this.#beginDoubt();
    this.#connectedSinceMs = performance.now();
    this.#era = era;
    this.#versionsByKey.clear();
    this.#removedKeys.clear();
    this.#unappliedKeys.clear();
    return !isFirstEra;
  }

  #applyPage(page: ChangePage, afterRestore = false): void {
    const { rows, position } = page;
    for (const row of rows) this.#applyRow(row, afterRestore);
    this.#lastPosition = {
      era: position.era,
      version: Math.max(this.#lastPosition?.version ?? 0, position.version),
    };
    if (this.isApplied) this.#options.onPage?.(page);
  }

  #applyRow(row: ChangedRow, afterRestore: boolean): void {
    const knownVersion = this.#versionsByKey.get(row.key) ?? -1;
    if (row.version <= knownVersion) return;
    if (row.value === undefined) this.#checkHistory(row);
    this.#versionsByKey.set(row.key, row.version);
    if (row.value === undefined) this.#removedKeys.add(row.key);
    else this.#removedKeys.delete(row.key);
    const { onRowChange, log } = this.#options;
    this.#unappliedKeys.add(row.key);
    // One row that cannot be applied must not keep back the others.
    runGuarded(log, `row of ${this.name}`, () => {
      onRowChange(row, afterRestore);
      this.#unappliedKeys.delete(row.key);
    });
  }

  /** A removed row that was never seen came and went between two reads. */
  #checkHistory({ key, version }: ChangedRow): void {
    const isNew = version > (this.#lastPosition?.version ?? 0);
    if (isNew && !this.#versionsByKey.has(key))
      this.#historySinceMs = performance.now();
  }

  #beginDoubt(): void {
    if (this.knownUntilMs === Infinity)
      this.#knownBeforeDoubtMs = this.#lastSuccessMs;
  }

  #recordFailure(failure: Failure): void {
    this.#beginDoubt();
    this.#connectedSinceMs = undefined;
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures > 1) return;
    this.#options.log.writeEvent('platform_down', {
      feed: this.#options.changeStream.name,
      reason: failure.message,
    });
  }

  #recordSuccess(): void {
    this.#lastSuccessMs = performance.now();
    this.#connectedSinceMs ??= performance.now();
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
