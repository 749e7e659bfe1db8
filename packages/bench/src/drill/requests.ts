/** Faults of requests, targets and connections. */
import type { Drill } from './drill.js';
import { generationDrills } from './requests/generations.js';

export const requestDrills: readonly Drill[] = [...generationDrills];
