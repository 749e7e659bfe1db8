/** Versions of rows, which apply only within one era of the store. */
import { z } from 'zod';

/**
 * Version of a row. After a restore, the store gives numbers out again, so
 * versions of different eras never match.
 */
export const rowVersionSchema = z.object({
  /** Era in which the row was read or written. */
  era: z.number().int().nonnegative(),
  /** Rises by one with each write of the row. */
  number: z.number().int().positive(),
});
export type RowVersion = z.infer<typeof rowVersionSchema>;

/** True if both are versions of a row or both are absent, and they are equal. */
export const isSameVersion = (
  a: RowVersion | undefined,
  b: RowVersion | undefined,
): boolean => a?.era === b?.era && a?.number === b?.number;

/** Returns the version that the next write gives to a row. */
export const createNextVersion = ({ era, number }: RowVersion): RowVersion => ({
  era,
  number: number + 1,
});

/** Returns the version that a write gives to a row, or to an absent one in the era. */
export const createWrittenVersion = (
  previousVersion: RowVersion | undefined,
  era: number,
): RowVersion =>
  previousVersion === undefined
    ? { era, number: 1 }
    : createNextVersion(previousVersion);
