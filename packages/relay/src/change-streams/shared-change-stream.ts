/**
 * A table that a hub follows for the instances of its data centre. Those ask
 * the platform themselves only while no hub has told them for a while, or when
 * they missed something.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Failure } from '@medlarlever/core';

import { ChangeStream } from './change-stream.js';
import type { ChangesResult, ChangePage } from './change-stream.js';

/** Changes of a table as a hub passes them on. */
export interface SharedChangePage extends ChangePage {
  /** Position that the hub had before. */
  readonly after: number;
}

/**
 * How long the platform may hold a hub's question: its members have to learn
 * soon that its connection has gone silent.
 */
const aggregatorLongPollMs = 700;

/** What a hub last told is taken for complete so long. */
export const aggregatorFreshnessMs = 1_300;

/** What a relayed feed works with. */
export interface SharedChangeStreamOptions {
  readonly changeStream: ChangeStream;
  /** True while this instance follows the table for others. */
  readonly isAggregator: () => boolean;
  readonly publishPage: (page: SharedChangePage) => void;
}

/** A feed that is asked only when no hub tells of it. */
export class SharedChangeStream extends ChangeStream {
  readonly #options: SharedChangeStreamOptions;
  #latestPage: SharedChangePage | undefined;
  #freshUntilMs = 0;
  #notifyWaiter: (() => void) | undefined;

  constructor(options: SharedChangeStreamOptions) {
    super();
    this.#options = options;
  }

  override get name(): string {
    return this.#options.changeStream.name;
  }

  override listRows(): Promise<Either<Failure, ChangePage>> {
    return this.#options.changeStream.listRows();
  }

  override async waitForChanges(
    after: number,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>> {
    const { changeStream: feed, isAggregator: isHub } = this.#options;
    if (isHub()) return this.#fetchAndPublishChanges(after);
    const told = await this.#waitForSharedChanges(after);
    return told === undefined
      ? feed.waitForChanges(after, waitMs)
      : Right(told);
  }

  /** Takes in what a hub passed on. */
  receivePage(page: SharedChangePage): void {
    const older = page.position < (this.#latestPage?.position ?? 0);
    if (older) return;
    this.#latestPage = page;
    this.#freshUntilMs = performance.now() + aggregatorFreshnessMs;
    this.#notifyWaiter?.();
  }

  async #fetchAndPublishChanges(
    after: number,
  ): Promise<Either<Failure, ChangesResult>> {
    const { changeStream: feed, publishPage: publish } = this.#options;
    const changes = await feed.waitForChanges(after, aggregatorLongPollMs);
    return changes.ifRight(page => {
      if (page !== 'expired') publish({ ...page, after });
    });
  }

  /** The next changes that a hub tells; none when it cannot be relied on. */
  async #waitForSharedChanges(after: number): Promise<ChangePage | undefined> {
    for (;;) {
      const latest = this.#latestPage;
      const leftMs = this.#freshUntilMs - performance.now();
      if (latest === undefined || leftMs <= 0) return undefined;
      // A hub that is behind, or that told something in between.
      if (latest.position < after || latest.after > after) return undefined;
      if (latest.position > after) return latest;
      await this.#waitForNextPage(leftMs);
    }
  }

  #waitForNextPage(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.#notifyWaiter = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
