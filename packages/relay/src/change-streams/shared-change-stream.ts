/**
 * Change stream that an aggregator reads on behalf of the instances of its data
 * centre. An instance queries the platform itself only if it has received no
 * page from an aggregator for {@link aggregatorFreshnessMs}, or if it has missed
 * changes.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { EraTracker, Failure } from '@medlarlever/core';

import { ChangeStream } from './change-stream.js';
import type {
  ChangesResult,
  ChangePage,
  StreamPosition,
} from './change-stream.js';

/** Page of changes that an aggregator forwards to its members. */
export interface SharedChangePage extends ChangePage {
  /**
   * Position after which the page starts, in the era of its end; earlier changes
   * are not included.
   */
  readonly after: StreamPosition;
}

/**
 * Long-poll time of an aggregator. It is shorter than `aggregatorFreshnessMs`, so
 * that members notice soon when the aggregator's connection to the platform no
 * longer responds.
 */
const aggregatorLongPollMs = 700;

/** Members treat the aggregator's last page as current for this long. */
export const aggregatorFreshnessMs = 1_300;

/** Dependencies of {@link SharedChangeStream}. */
export interface SharedChangeStreamOptions {
  readonly changeStream: ChangeStream;
  readonly eras: EraTracker;
  /** True while this instance reads the table on behalf of members. */
  readonly isAggregator: () => boolean;
  /** Sends a page to all members. */
  readonly publishPage: (page: SharedChangePage) => void;
}

/** Change stream that uses an aggregator's pages instead of the platform if it can. */
export class SharedChangeStream extends ChangeStream {
  readonly #options: SharedChangeStreamOptions;
  #latestPage: SharedChangePage | undefined;
  #freshUntilMs = 0;
  #notifyWaiter: (() => void) | undefined;

  constructor(options: SharedChangeStreamOptions) {
    super();
    this.#options = options;
    options.eras.onChange(() => this.#notifyWaiter?.());
  }

  override get name(): string {
    return this.#options.changeStream.name;
  }

  override listRows(): Promise<Either<Failure, ChangePage>> {
    return this.#options.changeStream.listRows();
  }

  /** Asks the platform itself, as an aggregator's pages may be a second old. */
  override listChanges(
    after: StreamPosition,
  ): Promise<Either<Failure, ChangesResult>> {
    return this.#options.changeStream.listChanges(after);
  }

  override async waitForChanges(
    after: StreamPosition,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>> {
    const { changeStream, isAggregator } = this.#options;
    if (isAggregator()) return this.#fetchAndPublishChanges(after);
    const sharedChanges = await this.#waitForSharedChanges(after);
    return sharedChanges === undefined
      ? changeStream.waitForChanges(after, waitMs)
      : Right(sharedChanges);
  }

  /**
   * Accepts a page from an aggregator unless a newer page has been received or the
   * store has been restored since. `ageMs` is the time since the platform gave it.
   */
  receivePage(page: SharedChangePage, ageMs = 0): void {
    const { era, version } = page.position;
    if (!this.#options.eras.recordEra(era)) return;
    const latest = this.#latestPage?.position;
    if (latest?.era === era && version < latest.version) return;
    const { changeStream } = this.#options;
    const rows = page.rows.map(row => changeStream.removeSecrets(row));
    this.#latestPage = { ...page, rows };
    this.#freshUntilMs = performance.now() + aggregatorFreshnessMs - ageMs;
    this.#notifyWaiter?.();
  }

  async #fetchAndPublishChanges(
    after: StreamPosition,
  ): Promise<Either<Failure, ChangesResult>> {
    const { changeStream, publishPage } = this.#options;
    const changes = await changeStream.waitForChanges(
      after,
      aggregatorLongPollMs,
    );
    return changes.ifRight(page => {
      if (page !== 'expired') publishPage({ ...page, after });
    });
  }

  /**
   * Waits for changes after position `after` from an aggregator. Returns
   * `undefined` if the instance must query the platform itself.
   */
  async #waitForSharedChanges(
    after: StreamPosition,
  ): Promise<ChangesResult | undefined> {
    for (;;) {
      if (this.#options.eras.currentEra !== after.era) return 'expired';
      const latestPage = this.#latestPage;
      const remainingMs = this.#freshUntilMs - performance.now();
      if (latestPage === undefined || remainingMs <= 0) return undefined;
      const { position, after: pageStart } = latestPage;
      if (position.era !== after.era) return undefined;
      // The aggregator is behind this instance, or this instance missed a page.
      if (position.version < after.version || pageStart.version > after.version)
        return undefined;
      if (position.version > after.version) return latestPage;
      await this.#waitForNextPage(remainingMs);
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
