/**
 * Command `npm run measure -- requests|control|capacity|costs [--seed N] [--json]`:
 * runs a measurement suite and prints its measurements.
 */
import { cpus } from 'node:os';

import meow from 'meow';

import type { Measurement, MeasurementSuite } from './measurement.js';

/** Loads only the suite that runs, so that the others don't add to its memory. */
const measurementSuites: Readonly<
  Record<string, () => Promise<MeasurementSuite>>
> = {
  requests: async () => (await import('./requests.js')).measureRequests,
  control: async () => (await import('./control.js')).measureControl,
  capacity: async () => (await import('./capacity.js')).measureCapacity,
  costs: async () => (await import('./costs/costs.js')).measureCosts,
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

const loadSuite = measurementSuites[cli.input[0] ?? ''];
if (loadSuite === undefined) cli.showHelp(2);
const suite = await loadSuite?.();
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
