/** Measurements of `npm run measure -- control`. */
import type { MeasureSuite } from './measurement.js';

export const measureControl: MeasureSuite = () => Promise.resolve([]);
