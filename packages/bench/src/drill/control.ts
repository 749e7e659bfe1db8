/** Faults of the platform, the instances and planned changes. */
import type { Drill } from './drill.js';

export const controlDrills: readonly Drill[] = [];
