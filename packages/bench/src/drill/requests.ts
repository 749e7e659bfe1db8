/** Drills of the request path: faults of targets, connections and the table. */
import type { Drill } from './drill.js';
import { generationDrills } from './requests/generations.js';
import { operationDrills } from './requests/operations.js';

export const requestDrills: readonly Drill[] = [
  ...generationDrills,
  ...operationDrills,
];
