/** Planned changes of targets, as records that any instance can carry on. */
import { z } from 'zod';

import { modelIdSchema, roleSchema } from '../target/target.js';

/** What an operator or the role policy asks for. */
export const planRequestSchema = z.discriminatedUnion('kind', [
  /** Takes the target out of service until the plan is cancelled. */
  z.object({ kind: z.literal('drain'), target: z.string().min(1) }),
  /** Takes it out until a new incarnation of the same name is live. */
  z.object({ kind: z.literal('replace'), target: z.string().min(1) }),
  /** Takes it out for good. */
  z.object({ kind: z.literal('withdraw'), target: z.string().min(1) }),
  z.object({
    kind: z.literal('role'),
    target: z.string().min(1),
    role: roleSchema,
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
export type PlanRequest = z.infer<typeof planRequestSchema>;

/**
 * `closing`: instances acknowledge that they send nothing new. `waiting`:
 * running work ends. `acting`: the engine carries out an order. `closed`: the
 * target is empty and stays out. `cancelling`: it is opened again.
 */
export const planStateSchema = z.enum([
  'closing',
  'waiting',
  'acting',
  'closed',
  'cancelling',
  'done',
  'cancelled',
  'failed',
]);
export type PlanState = z.infer<typeof planStateSchema>;

export const planSchema = z.object({
  id: z.string().min(1),
  request: planRequestSchema,
  state: planStateSchema,
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
export type Plan = z.infer<typeof planSchema>;

const endStates: ReadonlySet<PlanState> = new Set([
  'done',
  'cancelled',
  'failed',
]);

/** True while the plan keeps its target closed or will. */
export const isOpen = ({ state }: Plan): boolean => !endStates.has(state);

/** True for plans that act on the engine by an order. */
export const needsOrder = ({ kind }: PlanRequest): boolean =>
  kind === 'role' || kind === 'load' || kind === 'unload';
