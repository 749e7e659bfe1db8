/** Interface of the platform's transactional table. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';

import type { EraTracker } from './era-tracker.js';
import { rowVersionSchema } from './row-version.js';
import type { RowVersion } from './row-version.js';

/** Key of a row. The rows of a partition are ordered by `sort`. */
export const rowKeySchema = z.object({
  partition: z.string().min(1),
  sort: z.string().min(1),
});
export type RowKey = z.infer<typeof rowKeySchema>;

/** A stored row. */
export const rowSchema = rowKeySchema.extend({
  version: rowVersionSchema,
  /** Token of the transaction that wrote this version. */
  token: z.string(),
  /** Any JSON value. */
  value: z.unknown(),
});
export type Row = z.infer<typeof rowSchema>;

/**
 * Condition on a row: it is absent, it has the version, or any state. If a
 * condition fails, the whole transaction has no effect. The condition on a
 * version that was read before the last restore of the store always fails.
 */
export const conditionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('absent') }),
  z.object({ kind: z.literal('version'), version: rowVersionSchema }),
  z.object({ kind: z.literal('any') }),
]);
export type Condition = z.infer<typeof conditionSchema>;

/** Condition that the row has not changed since it was read with this version. */
export const createUnchangedCondition = (
  version: RowVersion | undefined,
): Condition =>
  version === undefined ? { kind: 'absent' } : { kind: 'version', version };

/** One operation of a transaction; `check` only tests its condition. */
export const writeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('put'),
    key: rowKeySchema,
    condition: conditionSchema,
    value: z.unknown(),
  }),
  z.object({
    kind: z.literal('delete'),
    key: rowKeySchema,
    condition: conditionSchema,
  }),
  z.object({
    kind: z.literal('check'),
    key: rowKeySchema,
    condition: conditionSchema,
  }),
]);
export type Write = z.infer<typeof writeSchema>;

/** Writes that are applied atomically. */
export const transactionSchema = z.object({
  /** Unique per transaction; the platform applies a token only once. */
  token: z.string().min(1),
  writes: z.array(writeSchema).min(1).max(25),
});
export type Transaction = z.infer<typeof transactionSchema>;

/** Definite result of a transaction. */
export type CommitResult =
  | { readonly kind: 'committed' }
  /**
   * A condition failed; `rows` are the current rows, in the order of writes.
   */
  | { readonly kind: 'conflict'; readonly rows: readonly (Row | undefined)[] };

export interface ScanOptions {
  /** Returns only rows whose `sort` is greater. */
  readonly after?: string;
  /** Returns only rows whose `sort` starts with the prefix. */
  readonly prefix?: string;
  /** Maximum number of rows. */
  readonly limit?: number;
}

/**
 * A transactional table with strongly consistent reads.
 *
 * Failures: `platform_unavailable` if the call certainly had no effect,
 * `platform_unknown` if a write may have taken effect or may still do so, and
 * `platform_budget` if the rate limit prevented the call.
 */
export abstract class Table {
  /** Era of the store, as known from all answers that this process received. */
  abstract readonly eras: EraTracker;

  /** Reads rows in the order of `keys`; `undefined` for each absent row. */
  abstract readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>>;

  /** Reads the rows of a partition in the order of `sort`. */
  abstract scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>>;

  /** Applies all writes if all their conditions hold. */
  abstract commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>>;
}
