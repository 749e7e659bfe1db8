/** Faults of requests, targets and connections. */
import type { Drill } from './drill.js';
import { operationDrills } from './requests/operations.js';

export const requestDrills: readonly Drill[] = [...operationDrills];
