/** Prints command results as text tables or, with `--json`, as JSON. */
import type { Failure } from '@medlarlever/core';

import type { TableRow } from './operator-schemas.js';

const formatCell = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  return typeof value === 'string' ? value : JSON.stringify(value);
};

/**
 * Formats rows as a text table with aligned columns. Without `columns`, the keys
 * of the first row become the columns.
 */
export const formatTable = (
  rows: readonly TableRow[],
  columns: readonly string[] = Object.keys(rows[0] ?? {}),
): string => {
  if (rows.length === 0) return '(none)';
  const cellRows = rows.map(row =>
    columns.map(column => formatCell(row[column])),
  );
  const tableRows = [[...columns], ...cellRows];
  const widths = columns.map((_, index) =>
    Math.max(...tableRows.map(cells => cells[index]?.length ?? 0)),
  );
  const pad = (cell: string, index: number) => cell.padEnd(widths[index] ?? 0);
  return tableRows.map(cells => cells.map(pad).join('  ').trimEnd()).join('\n');
};

/** Writes results to standard output and progress to standard error. */
export class Output {
  constructor(private readonly isJson: boolean) {}

  /** Prints `value` as JSON if `--json` is set, otherwise prints `text`. */
  printResult(value: unknown, text: string): void {
    console.log(this.isJson ? JSON.stringify(value) : text);
  }

  /** Prints a progress message to standard error. */
  printProgress(text: string): void {
    console.error(text);
  }

  /** Prints a failure: as JSON to standard output, or as text to standard error. */
  printFailure(failure: Failure): void {
    if (this.isJson) {
      console.log(JSON.stringify(failure.toBody()));
      return;
    }
    console.error(`${failure.number} ${failure.code}: ${failure.message}`);
    const { details } = failure;
    if (details !== undefined) console.error(JSON.stringify(details, null, 2));
  }
}
