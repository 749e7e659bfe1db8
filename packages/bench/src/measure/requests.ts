/** Measurements of `npm run measure -- requests`. */
import { measureGenerations } from './generations.js';
import type { MeasureSuite } from './measurement.js';
import { measureOperations } from './operations.js';

export const measureRequests: MeasureSuite = async options => [
  ...(await measureGenerations(options)),
  ...(await measureOperations(options)),
];
