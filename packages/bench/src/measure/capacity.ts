/** Measurements of `npm run measure -- capacity`. */
import type { MeasureSuite } from './measurement.js';

export const measureCapacity: MeasureSuite = () => Promise.resolve([]);
