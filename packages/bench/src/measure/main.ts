/** `npm run measure -- requests|control|capacity [--seed N] [--json]` */
import { cpus } from 'node:os';

import meow from 'meow';

import { measureCapacity } from './capacity.js';
import { measureControl } from './control.js';
import type { Measurement, MeasurementSuite } from './measurement.js';
import { measureRequests } from './requests.js';

const measurementSuites: Readonly<Record<string, MeasurementSuite>> = {
  requests: measureRequests,
  control: measureControl,
  capacity: measureCapacity,
};

const cli = meow(
  `
  Usage: npm run measure -- SUITE [--seed N] [--json]

  Suites: ${Object.keys(measurementSuites).join(', ')}
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      json: { type: 'boolean', default: false },
    },
  },
);

const formatMeasurement = (row: Measurement) => {
  const verdict = row.met === undefined ? '' : row.met ? ' met' : ' MISSED';
  const target = row.target === undefined ? '' : ` (target ${row.target})`;
  return `${row.name}: ${row.value} ${row.unit}${target}${verdict}`;
};

const suite = measurementSuites[cli.input[0] ?? ''];
if (suite === undefined) cli.showHelp(2);
const measurements = (await suite?.({ seed: cli.flags.seed })) ?? [];
if (cli.flags.json) {
  console.log(JSON.stringify(measurements));
} else {
  const cpu = cpus();
  console.log(
    `machine: ${cpu.length} x ${cpu[0]?.model ?? 'unknown'}, Node ${process.version}`,
  );
  for (const row of measurements) console.log(formatMeasurement(row));
}
process.exit(0);
