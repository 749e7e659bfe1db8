/** Table rows of the configuration's head, revisions and operations. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';

import { toCanonicalJson, computeDigest } from './digest.js';

/** Digest of each template's body in a revision, by template name. */
export const manifestSchema = z.record(z.string(), z.string());
export type Manifest = z.infer<typeof manifestSchema>;

/** The newest committed revision. */
export const configurationHeadSchema = z.object({
  revision: z.number().int().nonnegative(),
  operationId: z.string(),
  /** Digest of the manifest. */
  manifest: z.string(),
});
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** One committed revision, as listed in the history. */
export const revisionRecordSchema = configurationHeadSchema.extend({
  author: z.string(),
  /** Time of the change in milliseconds since the Unix epoch. */
  atMs: z.number(),
  /** Names of the templates that the change set or removed. */
  changed: z.array(z.string()),
});
export type RevisionRecord = z.infer<typeof revisionRecordSchema>;

/**
 * Row that maps the operation id of a configuration change to the revision that
 * the change created, so that a repeated submission is recognised.
 */
export const changeOperationRecordSchema = z.object({
  operationId: z.string(),
  revision: z.number().int().positive(),
  /** Digest of the change; detects reuse of the id for another change. */
  content: z.string(),
});
export type ChangeOperationRecord = z.infer<typeof changeOperationRecordSchema>;

const configurationPartition = 'config';
/** Partition of the revision records, sorted by revision. */
export const revisionPartition = 'config-revisions';
const operationPartition = 'config-operations';
const revisionSortKeyDigits = 12;

/** Key of the row that holds the head. */
export const headRowKey: RowKey = {
  partition: configurationPartition,
  sort: 'head',
};

/** Zero-padded revision, so that rows sort in the order of revisions. */
export const formatRevisionSortKey = (revision: number): string =>
  String(revision).padStart(revisionSortKeyDigits, '0');

/** Key of the row that holds a revision's record. */
export const getRevisionRowKey = (revision: number): RowKey => ({
  partition: revisionPartition,
  sort: formatRevisionSortKey(revision),
});

/** Key of the row that holds the record of an operation id. */
export const getOperationRowKey = (operationId: string): RowKey => ({
  partition: operationPartition,
  sort: operationId,
});

/** Canonical JSON of a manifest without templates. */
export const emptyManifestText = toCanonicalJson({});

/** Head before the first change: revision 0 without templates. */
export const emptyHead: ConfigurationHead = {
  revision: 0,
  operationId: '',
  manifest: computeDigest(emptyManifestText),
};
