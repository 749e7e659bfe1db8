/** Markdown pages of the numbered results and events. */
import type { LogEvent } from './events.js';
import type { ResultCode } from './result-codes.js';

/** Pads cells as the formatter does, so that the pages are stable. */
const renderMarkdownTable = (
  header: readonly string[],
  rows: readonly string[][],
) => {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]) =>
    `| ${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' | ')} |`;
  const rule = line(widths.map(width => '-'.repeat(width)));
  return [line(header), rule, ...rows.map(line)].join('\n');
};

/** The page of numbered results. */
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

Every error answer carries one of these numbers, its name, a message, and
\`executed\`: \`no\` is a claim of fact that nothing was run, \`unknown\` says
that it may have been. \`retry_after_ms\` says when to come back. This page is
written from the code by \`npm run tables\`.

${renderMarkdownTable(['Number', 'Name', 'HTTP status', 'Meaning'], rows)}
`;
};

/** The page of numbered log events. */
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

Every line of the log is JSON with the number and name of one of these events
and its fields. This page is written from the code by \`npm run tables\`.

${renderMarkdownTable(['Number', 'Name', 'Level', 'Meaning'], rows)}
`;
};
