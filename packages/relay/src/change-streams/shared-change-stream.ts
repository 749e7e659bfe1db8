/**
 * A table that a hub follows for the instances of its data centre. Those ask
 * the platform themselves only while no hub has told them for a while, or when
 * they missed something.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Failure } from '@medlarlever/core';

import { RowFeed } from './change-stream.js';
import type { FeedChanges, FeedPage } from './change-stream.js';

/** Changes of a table as a hub passes them on. */
export interface RelayedPage extends FeedPage {
  /** Position that the hub had before. */
  readonly after: number;
}

/**
 * How long the platform may hold a hub's question: its members have to learn
 * soon that its connection has gone silent.
 */
const hubWaitMs = 700;

/** What a hub last told is taken for complete so long. */
export const coveredMs = 1_300;

/** What a relayed feed works with. */
export interface RelayedFeedOptions {
  readonly feed: RowFeed;
  /** True while this instance follows the table for others. */
  readonly isHub: () => boolean;
  readonly publish: (page: RelayedPage) => void;
}

/** A feed that is asked only when no hub tells of it. */
export class RelayedFeed extends RowFeed {
  readonly #options: RelayedFeedOptions;
  #latest: RelayedPage | undefined;
  #coveredUntilMs = 0;
  #wake: (() => void) | undefined;

  constructor(options: RelayedFeedOptions) {
    super();
    this.#options = options;
  }

  override get name(): string {
    return this.#options.feed.name;
  }

  override list(): Promise<Either<Failure, FeedPage>> {
    return this.#options.feed.list();
  }

  override async changes(
    after: number,
    waitMs: number,
  ): Promise<Either<Failure, FeedChanges>> {
    const { feed, isHub } = this.#options;
    if (isHub()) return this.#followForOthers(after);
    const told = await this.#told(after);
    return told === undefined ? feed.changes(after, waitMs) : Right(told);
  }

  /** Takes in what a hub passed on. */
  take(page: RelayedPage): void {
    const older = page.position < (this.#latest?.position ?? 0);
    if (older) return;
    this.#latest = page;
    this.#coveredUntilMs = performance.now() + coveredMs;
    this.#wake?.();
  }

  async #followForOthers(after: number): Promise<Either<Failure, FeedChanges>> {
    const { feed, publish } = this.#options;
    const changes = await feed.changes(after, hubWaitMs);
    return changes.ifRight(page => {
      if (page !== 'expired') publish({ ...page, after });
    });
  }

  /** The next changes that a hub tells; none when it cannot be relied on. */
  async #told(after: number): Promise<FeedPage | undefined> {
    for (;;) {
      const latest = this.#latest;
      const leftMs = this.#coveredUntilMs - performance.now();
      if (latest === undefined || leftMs <= 0) return undefined;
      // A hub that is behind, or that told something in between.
      if (latest.position < after || latest.after > after) return undefined;
      if (latest.position > after) return latest;
      await this.#nextPage(leftMs);
    }
  }

  #nextPage(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
