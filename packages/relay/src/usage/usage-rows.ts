/** Rows in which the reports of windows are kept until they are accepted. */
import type { Row, RowKey, RowVersion, Table, Write } from '@medlarlever/core';
import { createUnchangedCondition, runCatching } from '@medlarlever/core';
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { customerCountsSchema } from './usage-totals.js';
import type { CustomerCounts } from './usage-totals.js';

/**
 * Partition of the rows. A transaction reads all rows from its first to its last
 * key; between this name and that of the leases lie only a few.
 */
const partition = 'lease-usage';
const stateKey: RowKey = { partition, sort: 'state' };
const reportPrefix = 'window-';
const windowDigits = 12;

const getReportKey = (window: number): RowKey => ({
  partition,
  sort: `${reportPrefix}${String(window).padStart(windowDigits, '0')}`,
});

const stateSchema = z.object({
  /** Era of the store in which the row was written. */
  era: z.number().int(),
  /** First window that has never had a row; earlier ones without one are settled. */
  nextWindow: z.number().int(),
});
export type UsageState = z.infer<typeof stateSchema>;

const reportSchema = z.object({
  window: z.number().int(),
  counts: customerCountsSchema,
});

/** Content of all rows. */
export interface UsageRows {
  readonly state: UsageState | undefined;
  readonly stateVersion: RowVersion | undefined;
  /** Counts of each report by window. */
  readonly reports: ReadonlyMap<number, CustomerCounts>;
}

const decodeRows = (rows: readonly Row[]): UsageRows => {
  const stateRow = rows.find(({ sort }) => sort === stateKey.sort);
  const reports = rows
    .filter(({ sort }) => sort.startsWith(reportPrefix))
    // A row of another process must not keep the reports from being sent.
    .flatMap(({ value }) => reportSchema.safeParse(value).data ?? []);
  return {
    state: stateRow && stateSchema.parse(stateRow.value),
    stateVersion: stateRow?.version,
    reports: new Map(reports.map(({ window, counts }) => [window, counts])),
  };
};

export const readUsageRows = (
  table: Table,
): Promise<Either<Failure, UsageRows>> =>
  runCatching(async unwrap =>
    decodeRows(await unwrap(table.scanPartition(partition))),
  );

/** Changes of the rows that are written together. */
export interface UsageRowChanges {
  readonly state: UsageState;
  /** Version of the row that the state replaces. */
  readonly stateVersion: RowVersion | undefined;
  readonly added: readonly (readonly [
    window: number,
    counts: CustomerCounts,
  ])[];
  readonly removed: readonly number[];
}

/**
 * Creates the writes of the changes. They take effect only if the state is still
 * the one that was read, so that a transaction that is delayed on its way can't
 * restore a report that was removed since.
 */
export const createUsageWrites = ({
  state,
  stateVersion,
  added,
  removed,
}: UsageRowChanges): Write[] => [
  {
    kind: 'put',
    key: stateKey,
    condition: createUnchangedCondition(stateVersion),
    value: state,
  },
  ...added.map(([window, counts]): Write => ({
    kind: 'put',
    key: getReportKey(window),
    condition: { kind: 'absent' },
    value: { window, counts },
  })),
  ...removed.map((window): Write => ({
    kind: 'delete',
    key: getReportKey(window),
    condition: { kind: 'any' },
  })),
];
