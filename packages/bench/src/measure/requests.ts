/** Measurements of `npm run measure -- requests`. */
import type { MeasureSuite } from './measurement.js';
import { measureOperations } from './operations.js';

export const measureRequests: MeasureSuite = async options => [
  ...(await measureOperations(options)),
];
