/** Interface for reading a platform table and waiting for changes of its rows. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '@medlarlever/core';

import type { ClockReading } from '../shared/clock-reading.js';

/**
 * Position in a change stream. After a restore, the platform gives versions out
 * again, so positions of different eras cannot be compared.
 */
export const streamPositionSchema = z.object({
  /** Rises by one each time the platform's store is restored from a backup. */
  era: z.number(),
  /** Counted by the platform over all tables; larger is newer. */
  version: z.number(),
});
export type StreamPosition = z.infer<typeof streamPositionSchema>;

/** States that a table has not changed between two positions. */
export const tableConfirmationSchema = z.object({
  table: z.string(),
  after: streamPositionSchema,
  position: streamPositionSchema,
  /** Milliseconds since the platform said so. */
  ageMs: z.number(),
});
export type TableConfirmation = z.infer<typeof tableConfirmationSchema>;

/** Current state of a row, or the information that the row was removed. */
export interface ChangedRow {
  readonly key: string;
  /** Version of the change, in the era of its page. */
  readonly version: number;
  /** Absent when the row was removed. */
  readonly value: Buffer | undefined;
}

/** Rows read from a table, with the position up to which they are complete. */
export interface ChangePage {
  readonly rows: readonly ChangedRow[];
  /** The page contains all changes up to and including this position. */
  readonly position: StreamPosition;
  /** When this instance sent the read; undefined for a page that another one has sent. */
  readonly sentAt?: ClockReading;
}

/**
 * `expired` if the platform no longer keeps the requested changes or was restored
 * since.
 */
export type ChangesResult = ChangePage | 'expired';

/** Wait of a read for changes that is to be answered at once. */
const shortestWaitMs = 1;

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
    after: StreamPosition,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>>;

  /** Returns the changes after position `after` at once, as the platform knows them now. */
  listChanges(after: StreamPosition): Promise<Either<Failure, ChangesResult>> {
    return this.waitForChanges(after, shortestWaitMs);
  }

  /** Removes what no instance may keep from a row that another instance has passed on. */
  removeSecrets(row: ChangedRow): ChangedRow {
    return row;
  }
}
