/** The stored record of a non-idempotent operation and its key. */
import { createHash } from 'node:crypto';

import { z } from 'zod';

import type { Row, RowKey } from '../table/table.js';
import { serviceAnswerSchema } from '../target/target.js';

/**
 * `running` may have been dispatched, `released` was certainly not run, and
 * `unknown` may have run. `done` without an answer has run, but its answer is
 * no longer kept or was too large to keep.
 */
export const claimStateSchema = z.enum([
  'running',
  'released',
  'done',
  'unknown',
]);

export const claimSchema = z.object({
  state: claimStateSchema,
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
  answer: serviceAnswerSchema.optional(),
});
export type Claim = z.infer<typeof claimSchema>;

/** Which run of which operation a claim is for. */
export interface ClaimName {
  readonly customer: string;
  readonly service: string;
  readonly operation: string;
  readonly key: string;
}

const digest = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

export const bodyHashOf = (body: string): string => digest(body);

/** Partition of all claims of one customer. */
export const claimPartition = (customer: string): string =>
  `ledger/${customer}`;

/** Address of the claim's row. */
export const claimRowKey = (name: ClaimName): RowKey => ({
  partition: claimPartition(name.customer),
  sort: `${name.service}/${name.operation}/${digest(name.key)}`,
});

/** A claim as it stands in the table. */
export interface StoredClaim {
  readonly claim: Claim;
  readonly version: number;
}

/** Reads the claim of a row; throws when the row is not a claim. */
export const storedClaimOf = (row: Row): StoredClaim => ({
  claim: claimSchema.parse(row.value),
  version: row.version,
});
