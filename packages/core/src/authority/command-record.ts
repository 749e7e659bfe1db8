/** Schema and row key of engine commands in the table. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';
import { engineCommandSchema } from '../target/target.js';

/** A process that may still send the command. */
export const commandSenderSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
});
export type CommandSender = z.infer<typeof commandSenderSchema>;

/** The latest command of a target. */
export const commandRecordSchema = z.object({
  target: z.string(),
  /** Incarnation of the engine when the command was first recorded. */
  targetIncarnation: z.string(),
  /** The command; stored data and events call it an order. */
  order: engineCommandSchema,
  state: z.enum(['open', 'done', 'failed', 'refused', 'released']),
  reason: z.string().optional(),
  /**
   * Processes that may still send this command. An engine that ignores fencing
   * tokens gets no other command until the fleet list reports each as gone.
   */
  senders: z.array(commandSenderSchema),
  /**
   * Set when an operator released the command; `atMs` is in milliseconds since
   * the Unix epoch.
   */
  release: z
    .object({ operator: z.string(), reason: z.string(), atMs: z.number() })
    .optional(),
});
export type CommandRecord = z.infer<typeof commandRecordSchema>;

/** Partition of the command rows. */
export const commandPartition = 'orders';

/** Key of the row of a target's latest command. */
export const getCommandRowKey = (target: string): RowKey => ({
  partition: commandPartition,
  sort: target,
});
