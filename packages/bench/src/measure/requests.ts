/** Measurements of `npm run measure -- requests`. */
import type { MeasureSuite } from './measurement.js';

export const measureRequests: MeasureSuite = () => Promise.resolve([]);
