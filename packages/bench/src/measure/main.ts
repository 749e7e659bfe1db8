/**
 * Command `npm run measure -- requests|control|capacity [--seed N] [--json]`:
 * runs a measurement suite and prints its measurements.
 */
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

const formatMeasurement = (measurement: Measurement) => {
  const result =
    measurement.met === undefined ? '' : measurement.met ? ' met' : ' MISSED';
  const target =
    measurement.target === undefined ? '' : ` (target ${measurement.target})`;
  return `${measurement.name}: ${measurement.value} ${measurement.unit}${target}${result}`;
};

const suite = measurementSuites[cli.input[0] ?? ''];
if (suite === undefined) cli.showHelp(2);
const measurements = (await suite?.({ seed: cli.flags.seed })) ?? [];
if (cli.flags.json) {
  console.log(JSON.stringify(measurements));
} else {
  const processors = cpus();
  console.log(
    `machine: ${processors.length} x ${processors[0]?.model ?? 'unknown'}, Node ${process.version}`,
  );
  for (const measurement of measurements)
    console.log(formatMeasurement(measurement));
}
process.exit(0);
