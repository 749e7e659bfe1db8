/** Measurements of `npm run measure -- requests`. */
import { measureGenerations } from './generations.js';
import type { MeasureSuite } from './measurement.js';

export const measureRequests: MeasureSuite = options =>
  measureGenerations(options);
