/** Orders to engines as rows of the table. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';
import { engineCommandSchema } from '../target/target.js';

/** A process that may still send the order. */
export const commandSenderSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
});
export type CommandSender = z.infer<typeof commandSenderSchema>;

export const commandRecordSchema = z.object({
  target: z.string(),
  /** Incarnation of the engine that the order was last sent to. */
  targetIncarnation: z.string(),
  order: engineCommandSchema,
  state: z.enum(['open', 'done', 'failed', 'refused', 'released']),
  reason: z.string().optional(),
  /**
   * Processes that may still send this order. An engine that ignores fencing
   * numbers gets no other order while one of them may run again.
   */
  senders: z.array(commandSenderSchema),
  /** Set when an operator released the order by name. */
  release: z
    .object({ operator: z.string(), reason: z.string(), atMs: z.number() })
    .optional(),
});
export type CommandRecord = z.infer<typeof commandRecordSchema>;

export const commandPartition = 'orders';

export const getCommandRowKey = (target: string): RowKey => ({
  partition: commandPartition,
  sort: target,
});
