/** Measurements of `npm run measure -- capacity`. */
import { measureControlCapacity } from './control-capacity.js';
import type { MeasurementSuite } from './measurement.js';

export const measureCapacity: MeasurementSuite = async options => [
  ...(await measureControlCapacity(options)),
];
