/** Records of planned changes of targets, which any instance can continue. */
import { z } from 'zod';

import { modelIdSchema, engineRoleSchema } from '../target/target.js';

/** A change requested by an operator or by the role policy. */
export const maintenancePlanRequestSchema = z.discriminatedUnion('kind', [
  /** Takes the target out of service until the plan is cancelled. */
  z.object({ kind: z.literal('drain'), target: z.string().min(1) }),
  /** Takes the target out until a new incarnation of its name is live. */
  z.object({ kind: z.literal('replace'), target: z.string().min(1) }),
  /** Takes the target out of service permanently. */
  z.object({ kind: z.literal('withdraw'), target: z.string().min(1) }),
  /** Changes the role of an engine. */
  z.object({
    kind: z.literal('role'),
    target: z.string().min(1),
    role: engineRoleSchema,
  }),
  /** Loads a model on an engine. */
  z.object({
    kind: z.literal('load'),
    target: z.string().min(1),
    model: modelIdSchema,
  }),
  /** Unloads a model from an engine. */
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
 * `closing`: waits until every instance acknowledges that it sends no new
 * requests to the target. `waiting`: waits until the running requests end.
 * `acting`: the engine executes a command. `closed`: no request runs on the
 * target and none is sent to it. `cancelling`: instances open the target again.
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

/** A plan as stored; times are milliseconds since the Unix epoch. */
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
  /** Descriptions of the instances or requests that the plan waits for. */
  waitingOn: z.array(z.string()),
  /** Reason for a failure, or a warning for the operator. */
  note: z.string(),
});
export type MaintenancePlan = z.infer<typeof maintenancePlanSchema>;

const terminalStates: ReadonlySet<MaintenancePlanState> = new Set([
  'done',
  'cancelled',
  'failed',
]);

/** True for a plan that has not ended. */
export const isOpenPlan = ({ state }: MaintenancePlan): boolean =>
  !terminalStates.has(state);

/** True for plans that send the engine a command. */
export const requiresCommand = ({ kind }: MaintenancePlanRequest): boolean =>
  kind === 'role' || kind === 'load' || kind === 'unload';
