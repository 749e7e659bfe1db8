/** Renders the Markdown pages of the result codes and log events. */
import type { LogEvent } from './events.js';
import type { ResultCode } from './result-codes.js';

/** Pads cells like the formatter, so that formatting changes nothing. */
const renderMarkdownTable = (
  header: readonly string[],
  rows: readonly string[][],
) => {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  const renderRow = (cells: readonly string[]) =>
    `| ${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' | ')} |`;
  const separator = renderRow(widths.map(width => '-'.repeat(width)));
  return [renderRow(header), separator, ...rows.map(renderRow)].join('\n');
};

/** Renders the page `docs/ERRORS.md`. */
export const renderErrorsPage = (
  codes: Readonly<Record<string, ResultCode>>,
) => {
  const rows = Object.entries(codes).map(([name, code]) => [
    String(code.number),
    `\`${name}\``,
    String(code.status),
    code.meaning,
  ]);
  return `# Result codes

Every error response has one of these numbers, its name, a message and
\`executed\`: \`no\` guarantees that the request was not run, \`unknown\` means
that it may have been run. \`retry_after_ms\` is the time in milliseconds after
which the caller may retry. \`npm run tables\` generates this page from the code.

${renderMarkdownTable(['Number', 'Name', 'HTTP status', 'Meaning'], rows)}
`;
};

/** Renders the page `docs/EVENTS.md`. */
export const renderEventsPage = (
  events: Readonly<Record<string, LogEvent>>,
) => {
  const rows = Object.entries(events).map(([name, event]) => [
    String(event.number),
    `\`${name}\``,
    event.level,
    event.meaning,
  ]);
  return `# Log events

Every line of the log is a JSON object with the number and name of one of these
events and its fields. \`npm run tables\` generates this page from the code.

${renderMarkdownTable(['Number', 'Name', 'Level', 'Meaning'], rows)}
`;
};
