/** Faults of requests, targets and connections. */
import type { Drill } from './drill.js';
import { generationDrills } from './requests/generations.js';
import { operationDrills } from './requests/operations.js';

export const requestDrills: readonly Drill[] = [
  ...generationDrills,
  ...operationDrills,
];
