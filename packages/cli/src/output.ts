/** Prints results as tables for people or as JSON for scripts. */
import type { Failure } from '@medlarlever/core';

import type { TableRow } from './operator-schemas.js';

const formatCell = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  return typeof value === 'string' ? value : JSON.stringify(value);
};

/** A table with the given columns, or with those of the first row. */
export const formatTable = (
  rows: readonly TableRow[],
  columns: readonly string[] = Object.keys(rows[0] ?? {}),
): string => {
  if (rows.length === 0) return '(none)';
  const lines = rows.map(row => columns.map(column => formatCell(row[column])));
  const all = [[...columns], ...lines];
  const widths = columns.map((_, index) =>
    Math.max(...all.map(line => line[index]?.length ?? 0)),
  );
  const pad = (cell: string, index: number) => cell.padEnd(widths[index] ?? 0);
  return all.map(line => line.map(pad).join('  ').trimEnd()).join('\n');
};

export class Output {
  constructor(private readonly isJson: boolean) {}

  /** The result: `value` as JSON, or the text for people. */
  printResult(value: unknown, text: string): void {
    console.log(this.isJson ? JSON.stringify(value) : text);
  }

  /** What is going on, apart from the result. */
  printProgress(text: string): void {
    console.error(text);
  }

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
