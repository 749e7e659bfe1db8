/** Measurement suite of `npm run measure -- requests`. */
import { measureGenerations } from './generations.js';
import type { MeasurementSuite } from './measurement.js';
import { measureOperations } from './operations.js';

/** Measures generations and calls to plain services. */
export const measureRequests: MeasurementSuite = async options => [
  ...(await measureGenerations(options)),
  ...(await measureOperations(options)),
];
