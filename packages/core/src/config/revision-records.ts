/** Rows of the table that hold the configuration's head and history. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';

import { toCanonicalJson, computeDigest } from './digest.js';

/** Names of all templates of a revision with the digests of their bodies. */
export const manifestSchema = z.record(z.string(), z.string());
export type Manifest = z.infer<typeof manifestSchema>;

/** The newest accepted revision. */
export const configurationHeadSchema = z.object({
  revision: z.number().int().nonnegative(),
  operationId: z.string(),
  /** Digest of the manifest. */
  manifest: z.string(),
});
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** One accepted change. */
export const revisionRecordSchema = configurationHeadSchema.extend({
  author: z.string(),
  atMs: z.number(),
  /** Names of the templates that differ from the revision before. */
  changed: z.array(z.string()),
});
export type RevisionRecord = z.infer<typeof revisionRecordSchema>;

/** What became of an operation id. */
export const changeOperationRecordSchema = z.object({
  operationId: z.string(),
  revision: z.number().int().positive(),
  /** Digest of the change, by which a reused id is noticed. */
  content: z.string(),
});
export type ChangeOperationRecord = z.infer<typeof changeOperationRecordSchema>;

const configurationPartition = 'config';
export const revisionPartition = 'config-revisions';
const operationPartition = 'config-operations';
const revisionSortKeyDigits = 12;

export const headRowKey: RowKey = {
  partition: configurationPartition,
  sort: 'head',
};

export const formatRevisionSortKey = (revision: number): string =>
  String(revision).padStart(revisionSortKeyDigits, '0');

export const getRevisionRowKey = (revision: number): RowKey => ({
  partition: revisionPartition,
  sort: formatRevisionSortKey(revision),
});

export const getOperationRowKey = (operationId: string): RowKey => ({
  partition: operationPartition,
  sort: operationId,
});

export const emptyManifestText = toCanonicalJson({});

/** Head before the first change. */
export const emptyHead: ConfigurationHead = {
  revision: 0,
  operationId: '',
  manifest: computeDigest(emptyManifestText),
};
