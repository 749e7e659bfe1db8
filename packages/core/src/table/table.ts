/** The platform's transactional table, as every part of the library sees it. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';

/** Address of a row. Rows of a partition are ordered by `sort`. */
export const rowKeySchema = z.object({
  partition: z.string().min(1),
  sort: z.string().min(1),
});
export type RowKey = z.infer<typeof rowKeySchema>;

/** A stored row. `version` rises by one with every write of the row. */
export const rowSchema = rowKeySchema.extend({
  version: z.number().int().positive(),
  /** Token of the transaction that wrote this version. */
  token: z.string(),
  /** Any JSON value. */
  value: z.unknown(),
});
export type Row = z.infer<typeof rowSchema>;

/** What must hold of a row for the transaction to take effect. */
export const conditionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('absent') }),
  z.object({ kind: z.literal('version'), version: z.number().int() }),
  z.object({ kind: z.literal('any') }),
]);
export type Condition = z.infer<typeof conditionSchema>;

/** One step of a transaction: `check` only tests the condition. */
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

/** Writes that take effect together or not at all. */
export const transactionSchema = z.object({
  /** Unique for each transaction; the platform applies a token once. */
  token: z.string().min(1),
  writes: z.array(writeSchema).min(1).max(25),
});
export type Transaction = z.infer<typeof transactionSchema>;

/** Result of a transaction that reached a definite end. */
export type CommitResult =
  | { readonly kind: 'committed' }
  /** Some condition failed; `rows` are the current rows in write order. */
  | { readonly kind: 'conflict'; readonly rows: readonly (Row | undefined)[] };

export interface ScanOptions {
  /** Only rows whose `sort` is greater. */
  readonly after?: string;
  /** Only rows whose `sort` starts so. */
  readonly prefix?: string;
  readonly limit?: number;
}

/**
 * The transactional table. Reads are strongly consistent.
 *
 * Failures: `platform_unavailable` when the call had certainly no effect,
 * `platform_unknown` when a write may have taken effect (or may still), and
 * `platform_budget` when it was not sent.
 */
export abstract class Table {
  abstract readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>>;

  abstract scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>>;

  abstract commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>>;
}
