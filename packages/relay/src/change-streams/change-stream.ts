/** Interface for reading a platform table and waiting for changes of its rows. */
import type { Either } from 'purify-ts';

import type { Failure } from '@medlarlever/core';

/** Current state of a row, or the information that the row was removed. */
export interface ChangedRow {
  readonly key: string;
  /** Position of the change in the stream, counted by the platform; larger is newer. */
  readonly position: number;
  /** Absent when the row was removed. */
  readonly value: Buffer | undefined;
}

/** Rows read from a table, with the position up to which they are complete. */
export interface ChangePage {
  readonly rows: readonly ChangedRow[];
  /** The page contains all changes up to and including this position. */
  readonly position: number;
}

/** `expired` if the platform no longer keeps the requested changes. */
export type ChangesResult = ChangePage | 'expired';

/** Change stream of one platform table; the platform adapter implements it. */
export abstract class ChangeStream {
  /** Name of the table, for log events. */
  abstract readonly name: string;
  /** Returns a consistent snapshot of all rows. */
  abstract listRows(): Promise<Either<Failure, ChangePage>>;
  /**
   * Returns the changes after position `after`. If there are none, waits up to
   * `waitMs` milliseconds for the first one.
   */
  abstract waitForChanges(
    after: number,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>>;
}
