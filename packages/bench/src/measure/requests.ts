/** Measurements of `npm run measure -- requests`. */
import { measureGenerations } from './generations.js';
import type { MeasurementSuite } from './measurement.js';
import { measureOperations } from './operations.js';

export const measureRequests: MeasurementSuite = async options => [
  ...(await measureGenerations(options)),
  ...(await measureOperations(options)),
];
