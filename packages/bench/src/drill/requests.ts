/** Faults of requests, targets and connections. */
import type { Drill } from './drill.js';

export const requestDrills: readonly Drill[] = [];
