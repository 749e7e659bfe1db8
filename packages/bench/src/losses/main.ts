/**
 * Command `npm run losses -- FILE [--target ROUTE=MS]... [--span S]`: says from the logs of
 * instances which requests were not served in time, when and for what reason.
 */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline/promises';

import meow from 'meow';

import { createLossTable } from './loss-table.js';
import type { LossRow } from './loss-table.js';
import { readRequestLog } from './request-log.js';

const usageExitCode = 2;

const cli = meow(
  `
  Usage: npm run losses -- FILE [--target ROUTE=MS]... [--span S]

  FILE: lines of the form SECONDS INSTANCE JSON, with events 501 and 502
  --target: latency target of a route; without one, no answer of it counts as late
  --span: length of a row in seconds, 2 by default
`,
  {
    importMeta: import.meta,
    flags: {
      target: { type: 'string', isMultiple: true, default: [] },
      span: { type: 'number', default: 2 },
    },
  },
);

const formatRow = ({ label, reasons, paths }: LossRow): string =>
  [
    `${label}: ${[...reasons].map(([reason, count]) => `${count} ${reason}`).join('; ')}`,
    ...paths.map(
      ({ path, count, medianMs, highMs }) =>
        `    ${path}: ${count}, first event after ${medianMs ?? '-'} ms (median), ${highMs ?? '-'} ms (90 in 100)`,
    ),
  ].join('\n');

const parseTarget = (text: string): [string, number] => {
  const [route = '', ms = ''] = text.split('=');
  return [route, Number(ms)];
};

const [file] = cli.input;
const targets = new Map(cli.flags.target.map(parseTarget));
const isValid =
  file !== undefined &&
  cli.flags.span > 0 &&
  [...targets].every(([route, ms]) => route !== '' && ms > 0);
if (!isValid) {
  console.error('name a file, targets as ROUTE=MS and a span above 0');
  process.exit(usageExitCode);
}

const lines: string[] = [];
for await (const line of createInterface(createReadStream(file)))
  lines.push(line);
const { ends, droppedLines } = readRequestLog(lines);
const { routes, spans } = createLossTable(ends, targets, cli.flags.span);
console.log(`${ends.length} requests, ${droppedLines} log lines missing\n`);
console.log(routes.map(formatRow).join('\n'));
console.log(`\n${spans.map(formatRow).join('\n')}`);
