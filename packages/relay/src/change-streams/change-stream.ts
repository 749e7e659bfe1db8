/** A table of the platform that is followed row by row. */
import type { Either } from 'purify-ts';

import type { Failure } from '@medlarlever/core';

/** A row as the platform holds it, or the mark of its removal. */
export interface ChangedRow {
  readonly key: string;
  /** Counter of the platform; the larger one is the newer one. */
  readonly position: number;
  /** Absent when the row was removed. */
  readonly value: Buffer | undefined;
}

export interface ChangePage {
  readonly rows: readonly ChangedRow[];
  /** Up to where the rows are complete. */
  readonly position: number;
}

/** `expired` when the platform no longer has the changes asked for. */
export type ChangesResult = ChangePage | 'expired';

export abstract class ChangeStream {
  /** Name for the log. */
  abstract readonly name: string;
  /** All rows as of one moment. */
  abstract listRows(): Promise<Either<Failure, ChangePage>>;
  /** Changes after the position, waiting up to `waitMs` for one. */
  abstract waitForChanges(
    after: number,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>>;
}
