/** Measurement suite of `npm run measure -- capacity`. */
import { measureControlCapacity } from './control-capacity.js';
import type { MeasurementSuite } from './measurement.js';

/** Measures memory, decision time and message sizes for docs/CAPACITY.md. */
export const measureCapacity: MeasurementSuite = async options => [
  ...(await measureControlCapacity(options)),
];
