/** Prints results as tables for people or as JSON for scripts. */
import type { Failure } from '@medlarlever/core';

import type { Row } from './operator-schemas.js';

const cellOf = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  return typeof value === 'string' ? value : JSON.stringify(value);
};

/** A table with the given columns, or with those of the first row. */
export const toTable = (
  rows: readonly Row[],
  columns: readonly string[] = Object.keys(rows[0] ?? {}),
): string => {
  if (rows.length === 0) return '(none)';
  const lines = rows.map(row => columns.map(column => cellOf(row[column])));
  const all = [[...columns], ...lines];
  const widths = columns.map((_, index) =>
    Math.max(...all.map(line => line[index]?.length ?? 0)),
  );
  const pad = (cell: string, index: number) => cell.padEnd(widths[index] ?? 0);
  return all.map(line => line.map(pad).join('  ').trimEnd()).join('\n');
};

export class Output {
  constructor(private readonly json: boolean) {}

  /** The result: `value` as JSON, or the text for people. */
  result(value: unknown, text: string): void {
    console.log(this.json ? JSON.stringify(value) : text);
  }

  /** What is going on, apart from the result. */
  progress(text: string): void {
    console.error(text);
  }

  failure(failure: Failure): void {
    if (this.json) {
      console.log(JSON.stringify(failure.toBody()));
      return;
    }
    console.error(`${failure.number} ${failure.code}: ${failure.message}`);
    const { details } = failure;
    if (details !== undefined) console.error(JSON.stringify(details, null, 2));
  }
}
