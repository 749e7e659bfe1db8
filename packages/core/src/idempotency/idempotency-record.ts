/** The stored record of a non-idempotent operation and its key. */
import { createHash } from 'node:crypto';

import { z } from 'zod';

import type { Row, RowKey } from '../table/table.js';
import { serviceResponseSchema } from '../target/target.js';

/**
 * `running` may have been dispatched, `released` was certainly not run, and
 * `unknown` may have run. `done` without an answer has run, but its answer is
 * no longer kept or was too large to keep.
 */
export const idempotencyStateSchema = z.enum([
  'running',
  'released',
  'done',
  'unknown',
]);

export const idempotencyRecordSchema = z.object({
  state: idempotencyStateSchema,
  /** Digest of the body, to tell a repeat from another request. */
  bodyHash: z.string(),
  /** The claimant: only this incarnation may release the claim. */
  instance: z.string(),
  incarnation: z.string(),
  /** Token of the transaction that made the claim. */
  token: z.string(),
  claimedAtMs: z.number(),
  /** The answer is kept until then; the record is kept longer. */
  expiresAtMs: z.number(),
  answer: serviceResponseSchema.optional(),
});
export type IdempotencyRecord = z.infer<typeof idempotencyRecordSchema>;

/** Which run of which operation a claim is for. */
export interface IdempotencyRecordKey {
  readonly customer: string;
  readonly service: string;
  readonly operation: string;
  readonly key: string;
}

const computeDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

export const hashBody = (body: string): string => computeDigest(body);

/** Partition of all claims of one customer. */
export const getIdempotencyPartition = (customer: string): string =>
  `ledger/${customer}`;

/** Address of the claim's row. */
export const getIdempotencyRowKey = (name: IdempotencyRecordKey): RowKey => ({
  partition: getIdempotencyPartition(name.customer),
  sort: `${name.service}/${name.operation}/${computeDigest(name.key)}`,
});

/** A claim as it stands in the table. */
export interface StoredRecord {
  readonly claim: IdempotencyRecord;
  readonly version: number;
}

/** Reads the claim of a row; throws when the row is not a claim. */
export const parseStoredRecord = (row: Row): StoredRecord => ({
  claim: idempotencyRecordSchema.parse(row.value),
  version: row.version,
});
