/** Planned changes of targets, as records that any instance can carry on. */
import { z } from 'zod';

import { modelIdSchema, engineRoleSchema } from '../target/target.js';

/** What an operator or the role policy asks for. */
export const maintenancePlanRequestSchema = z.discriminatedUnion('kind', [
  /** Takes the target out of service until the plan is cancelled. */
  z.object({ kind: z.literal('drain'), target: z.string().min(1) }),
  /** Takes it out until a new incarnation of the same name is live. */
  z.object({ kind: z.literal('replace'), target: z.string().min(1) }),
  /** Takes it out for good. */
  z.object({ kind: z.literal('withdraw'), target: z.string().min(1) }),
  z.object({
    kind: z.literal('role'),
    target: z.string().min(1),
    role: engineRoleSchema,
  }),
  z.object({
    kind: z.literal('load'),
    target: z.string().min(1),
    model: modelIdSchema,
  }),
  z.object({
    kind: z.literal('unload'),
    target: z.string().min(1),
    model: modelIdSchema,
  }),
]);
export type MaintenancePlanRequest = z.infer<
  typeof maintenancePlanRequestSchema
>;

/**
 * `closing`: instances acknowledge that they send nothing new. `waiting`:
 * running work ends. `acting`: the engine carries out an order. `closed`: the
 * target is empty and stays out. `cancelling`: it is opened again.
 */
export const maintenancePlanStateSchema = z.enum([
  'closing',
  'waiting',
  'acting',
  'closed',
  'cancelling',
  'done',
  'cancelled',
  'failed',
]);
export type MaintenancePlanState = z.infer<typeof maintenancePlanStateSchema>;

export const maintenancePlanSchema = z.object({
  id: z.string().min(1),
  request: maintenancePlanRequestSchema,
  state: maintenancePlanStateSchema,
  /** Incarnation of the target when the plan was made. */
  incarnation: z.string(),
  dataCenter: z.string(),
  author: z.string(),
  createdAtMs: z.number(),
  changedAtMs: z.number(),
  /** Instances or work that the plan waits for, with the reason. */
  waitingOn: z.array(z.string()),
  /** Why it failed, or what an operator should know. */
  note: z.string(),
});
export type MaintenancePlan = z.infer<typeof maintenancePlanSchema>;

const terminalStates: ReadonlySet<MaintenancePlanState> = new Set([
  'done',
  'cancelled',
  'failed',
]);

/** True while the plan keeps its target closed or will. */
export const isOpenPlan = ({ state }: MaintenancePlan): boolean =>
  !terminalStates.has(state);

/** True for plans that act on the engine by an order. */
export const requiresCommand = ({ kind }: MaintenancePlanRequest): boolean =>
  kind === 'role' || kind === 'load' || kind === 'unload';
