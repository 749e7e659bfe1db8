/** The stored record of a run under an idempotency key. */
import { createHash } from 'node:crypto';

import { z } from 'zod';

import type { RowVersion } from '../table/row-version.js';
import type { Row, RowKey } from '../table/table.js';
import { serviceResponseSchema } from '../target/target.js';

/**
 * `running`: the operation may have been dispatched. `released`: the operation
 * certainly did not run. `unknown`: the operation may have run. `done`: the
 * operation ran; if `answer` is absent, the answer was too large to store or
 * has been removed since.
 */
export const idempotencyStateSchema = z.enum([
  'running',
  'released',
  'done',
  'unknown',
]);

/**
 * Idempotency record: the stored claim of a key by the process that runs the
 * operation; times are milliseconds since the Unix epoch.
 */
export const idempotencyRecordSchema = z.object({
  state: idempotencyStateSchema,
  /** Digest of the body, to detect the use of a key with another body. */
  bodyHash: z.string(),
  /** Name of the instance that claimed the key. */
  instance: z.string(),
  /** Incarnation of that instance; only it may release the claim. */
  incarnation: z.string(),
  /** Token of the transaction that made the claim. */
  token: z.string(),
  claimedAtMs: z.number(),
  /** The answer is replayed until this time; the record is kept longer. */
  expiresAtMs: z.number(),
  answer: serviceResponseSchema.optional(),
});
export type IdempotencyRecord = z.infer<typeof idempotencyRecordSchema>;

/** The customer, operation and key that a claim belongs to. */
export interface IdempotencyRecordKey {
  readonly customer: string;
  readonly service: string;
  readonly operation: string;
  readonly key: string;
}

const computeDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

/** SHA-256 digest of a request body, in hexadecimal. */
export const hashBody = (body: string): string => computeDigest(body);

/** Partition of the idempotency records of one customer. */
export const getIdempotencyPartition = (customer: string): string =>
  `ledger/${customer}`;

/** Key of the row of an idempotency record. */
export const getIdempotencyRowKey = (name: IdempotencyRecordKey): RowKey => ({
  partition: getIdempotencyPartition(name.customer),
  sort: `${name.service}/${name.operation}/${computeDigest(name.key)}`,
});

/** An idempotency record with the version of its row. */
export interface StoredRecord {
  readonly record: IdempotencyRecord;
  readonly version: RowVersion;
}

/** Parses the idempotency record in a row; throws when the row holds none. */
export const parseStoredRecord = (row: Row): StoredRecord => ({
  record: idempotencyRecordSchema.parse(row.value),
  version: row.version,
});
