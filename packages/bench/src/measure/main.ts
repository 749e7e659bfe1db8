/** `npm run measure -- requests|control|capacity [--seed N] [--json]` */
import { cpus } from 'node:os';

import meow from 'meow';

import { measureCapacity } from './capacity.js';
import { measureControl } from './control.js';
import type { Measurement, MeasureSuite } from './measurement.js';
import { measureRequests } from './requests.js';

const suites: Readonly<Record<string, MeasureSuite>> = {
  requests: measureRequests,
  control: measureControl,
  capacity: measureCapacity,
};

const cli = meow(
  `
  Usage: npm run measure -- SUITE [--seed N] [--json]

  Suites: ${Object.keys(suites).join(', ')}
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      json: { type: 'boolean', default: false },
    },
  },
);

const format = (row: Measurement) => {
  const verdict = row.met === undefined ? '' : row.met ? ' met' : ' MISSED';
  const target = row.target === undefined ? '' : ` (target ${row.target})`;
  return `${row.name}: ${row.value} ${row.unit}${target}${verdict}`;
};

const suite = suites[cli.input[0] ?? ''];
if (suite === undefined) cli.showHelp(2);
const rows = (await suite?.({ seed: cli.flags.seed })) ?? [];
if (cli.flags.json) {
  console.log(JSON.stringify(rows));
} else {
  const cpu = cpus();
  console.log(
    `machine: ${cpu.length} x ${cpu[0]?.model ?? 'unknown'}, Node ${process.version}`,
  );
  for (const row of rows) console.log(format(row));
}
process.exit(0);
