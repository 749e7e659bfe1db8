/** Follows a table through outages, lost history and silent connections. */
import type { Log } from '@medlarlever/core';
import { jittered, sleep } from '@medlarlever/core';
import type { Failure } from '@medlarlever/core';

import type { FeedPage, FeedRow, RowFeed } from './change-stream.js';

const firstPauseMs = 50;
const longestPauseMs = 600;

export interface FeedFollowerOptions {
  readonly feed: RowFeed;
  readonly log: Log;
  readonly random: () => number;
  /** How long the platform may hold a question for changes. */
  readonly waitMs: number;
  /** A row is new or changed; an undefined value means that it was removed. */
  readonly onRow: (row: FeedRow) => void;
  /** The whole table was read again: rows of other keys are gone. */
  readonly onList: (keys: ReadonlySet<string>, afterOutage: boolean) => void;
}

export class FeedFollower {
  readonly #options: FeedFollowerOptions;
  readonly #positions = new Map<string, number>();
  readonly #removed = new Set<string>();
  #position: number | undefined;
  #failures = 0;
  #reached = false;

  constructor(options: FeedFollowerOptions) {
    this.#options = options;
  }

  /** Name of the table. */
  get name(): string {
    return this.#options.feed.name;
  }

  /** True while the platform answers. */
  get connected(): boolean {
    return this.#failures === 0 && this.#position !== undefined;
  }

  /** True while the row is known to exist. */
  holds(key: string): boolean {
    return this.#positions.has(key) && !this.#removed.has(key);
  }

  /** Follows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure =
        this.#position === undefined
          ? await this.#list()
          : await this.#follow(this.#position);
      if (failure === undefined) continue;
      this.#lost(failure);
      await sleep(this.#pauseMs(), signal);
    }
  }

  async #list(): Promise<Failure | undefined> {
    const listed = await this.#options.feed.list();
    return listed.caseOf({
      Left: failure => failure,
      Right: page => {
        const afterOutage = this.#failures > 0;
        this.#regained();
        this.#takeList(page, afterOutage);
        return undefined;
      },
    });
  }

  async #follow(after: number): Promise<Failure | undefined> {
    const { feed, waitMs } = this.#options;
    const changes = await feed.changes(after, waitMs);
    return changes.caseOf({
      Left: failure => failure,
      Right: page => {
        this.#regained();
        if (page === 'expired') this.#expired();
        else this.#takePage(page);
        return undefined;
      },
    });
  }

  #expired(): void {
    this.#position = undefined;
    this.#options.log.event('feed_expired', { feed: this.#options.feed.name });
  }

  /** A list that is older than what is known proves nothing. */
  #takeList(page: FeedPage, afterOutage: boolean): void {
    const newest = Math.max(0, ...this.#positions.values());
    this.#takePage(page);
    if (page.position < newest) return;
    const keys = new Set(page.rows.map(row => row.key));
    for (const key of this.#positions.keys()) {
      if (!keys.has(key)) this.#positions.delete(key);
    }
    this.#options.onList(keys, afterOutage);
  }

  #takePage(page: FeedPage): void {
    for (const row of page.rows) this.#takeRow(row);
    this.#position = Math.max(this.#position ?? 0, page.position);
  }

  #takeRow(row: FeedRow): void {
    const held = this.#positions.get(row.key) ?? -1;
    if (row.position <= held) return;
    this.#positions.set(row.key, row.position);
    if (row.value === undefined) this.#removed.add(row.key);
    else this.#removed.delete(row.key);
    this.#options.onRow(row);
  }

  #lost(failure: Failure): void {
    this.#failures += 1;
    if (this.#failures > 1) return;
    this.#options.log.event('platform_down', {
      feed: this.#options.feed.name,
      reason: failure.message,
    });
  }

  #regained(): void {
    if (this.#failures > 0 || !this.#reached) {
      this.#reached = true;
      this.#options.log.event('platform_up', {
        feed: this.#options.feed.name,
        failures: this.#failures,
      });
    }
    this.#failures = 0;
  }

  #pauseMs(): number {
    const exponent = Math.min(10, this.#failures - 1);
    const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** exponent);
    return jittered(pauseMs, this.#options.random, 0.5);
  }
}
