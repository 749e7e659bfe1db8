/** Measurements of `npm run measure -- capacity`. */
import { measureControlCapacity } from './control-capacity.js';
import type { MeasureSuite } from './measurement.js';

export const measureCapacity: MeasureSuite = async options => [
  ...(await measureControlCapacity(options)),
];
