/** Rows of the table that hold the configuration's head and history. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';

import { canonicalJson, digestOf } from './digest.js';

/** Names of all templates of a revision with the digests of their bodies. */
export const manifestSchema = z.record(z.string(), z.string());
export type Manifest = z.infer<typeof manifestSchema>;

/** The newest accepted revision. */
export const headSchema = z.object({
  revision: z.number().int().nonnegative(),
  operationId: z.string(),
  /** Digest of the manifest. */
  manifest: z.string(),
});
export type Head = z.infer<typeof headSchema>;

/** One accepted change. */
export const revisionRecordSchema = headSchema.extend({
  author: z.string(),
  atMs: z.number(),
  /** Names of the templates that differ from the revision before. */
  changed: z.array(z.string()),
});
export type RevisionRecord = z.infer<typeof revisionRecordSchema>;

/** What became of an operation id. */
export const operationRecordSchema = z.object({
  operationId: z.string(),
  revision: z.number().int().positive(),
  /** Digest of the change, by which a reused id is noticed. */
  content: z.string(),
});
export type OperationRecord = z.infer<typeof operationRecordSchema>;

const partition = 'config';
export const revisionPartition = 'config-revisions';
const operationPartition = 'config-operations';
const revisionDigits = 12;

export const headKey: RowKey = { partition, sort: 'head' };

export const revisionSort = (revision: number): string =>
  String(revision).padStart(revisionDigits, '0');

export const revisionKey = (revision: number): RowKey => ({
  partition: revisionPartition,
  sort: revisionSort(revision),
});

export const operationKey = (operationId: string): RowKey => ({
  partition: operationPartition,
  sort: operationId,
});

export const emptyManifestText = canonicalJson({});

/** Head before the first change. */
export const emptyHead: Head = {
  revision: 0,
  operationId: '',
  manifest: digestOf(emptyManifestText),
};
