/**
 * Change stream that states when each of its reads was sent. It holds long polls to a
 * maximum, since the answer of a poll proves no more than the time at which it was sent.
 */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import { ChangeStream } from '../change-streams/change-stream.js';
import type {
  ChangedRow,
  ChangePage,
  ChangesResult,
  StreamPosition,
} from '../change-streams/change-stream.js';
import { readClocks } from '../shared/clock-reading.js';

/** Wraps the platform's change stream of the operator's table. */
export class TimedChangeStream extends ChangeStream {
  /** `getMaxWaitMs` returns the longest time of a poll at present. */
  constructor(
    private readonly inner: ChangeStream,
    private readonly getMaxWaitMs: () => number,
  ) {
    super();
  }

  override get name(): string {
    return this.inner.name;
  }

  override async listRows(): Promise<Either<Failure, ChangePage>> {
    const sentAt = readClocks();
    const page = await this.inner.listRows();
    return page.map(content => ({ ...content, sentAt }));
  }

  override async waitForChanges(
    after: StreamPosition,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>> {
    const sentAt = readClocks();
    const changes = await this.inner.waitForChanges(
      after,
      Math.min(waitMs, this.getMaxWaitMs()),
    );
    return changes.map(page =>
      page === 'expired' ? page : { ...page, sentAt },
    );
  }

  override removeSecrets(row: ChangedRow): ChangedRow {
    return this.inner.removeSecrets(row);
  }
}
