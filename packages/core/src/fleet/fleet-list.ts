/** The platform's lagging list of instances and targets. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';

/** `gone` is the platform's word that the incarnation never runs again. */
export const fleetStateSchema = z.enum(['live', 'leaving', 'gone']);
export type FleetState = z.infer<typeof fleetStateSchema>;

export const fleetKindSchema = z.enum(['entry', 'engine', 'service']);
export type FleetKind = z.infer<typeof fleetKindSchema>;

/** One incarnation of an instance or target. */
export const fleetMemberSchema = z.object({
  name: z.string().min(1),
  kind: fleetKindSchema,
  dataCenter: z.string().min(1),
  /** Changes with every start of the process. */
  incarnation: z.string().min(1),
  /** `host:port`; for entry instances the peer address. */
  address: z.string().min(1),
  state: fleetStateSchema,
  /** Name of the service that a `service` target runs. */
  service: z.string().optional(),
});
export type FleetMember = z.infer<typeof fleetMemberSchema>;

/** Lists the fleet as the platform last saw it, seconds late. */
export abstract class FleetList {
  abstract listMembers(): Promise<Either<Failure, readonly FleetMember[]>>;
}
