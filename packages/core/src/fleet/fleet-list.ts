/** The platform's list of instances and targets, which lags by seconds. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';

/** `gone` is the platform's guarantee that the incarnation never runs again. */
export const fleetStateSchema = z.enum(['live', 'leaving', 'gone']);
export type FleetState = z.infer<typeof fleetStateSchema>;

/** Entry instance, engine that serves models, or target of a plain service. */
export const fleetKindSchema = z.enum(['entry', 'engine', 'service']);
export type FleetKind = z.infer<typeof fleetKindSchema>;

/** One incarnation of an instance or target. */
export const fleetMemberSchema = z.object({
  name: z.string().min(1),
  kind: fleetKindSchema,
  dataCenter: z.string().min(1),
  /** Identifies one start of the process; each start gets a new value. */
  incarnation: z.string().min(1),
  /** `host:port`; for entry instances the peer address. */
  address: z.string().min(1),
  state: fleetStateSchema,
  /** Name of the service that a `service` target runs. */
  service: z.string().optional(),
});
export type FleetMember = z.infer<typeof fleetMemberSchema>;

/** Lists the fleet as the platform observed it some seconds ago. */
export abstract class FleetList {
  abstract listMembers(): Promise<Either<Failure, readonly FleetMember[]>>;
}
