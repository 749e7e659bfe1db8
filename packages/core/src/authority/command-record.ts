/** Orders to engines as rows of the table. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';
import { orderSchema } from '../target/target.js';

/** A process that may still send the order. */
export const senderSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
});
export type Sender = z.infer<typeof senderSchema>;

export const orderRecordSchema = z.object({
  target: z.string(),
  /** Incarnation of the engine that the order was last sent to. */
  targetIncarnation: z.string(),
  order: orderSchema,
  state: z.enum(['open', 'done', 'failed', 'refused', 'released']),
  reason: z.string().optional(),
  /**
   * Processes that may still send this order. An engine that ignores fencing
   * numbers gets no other order while one of them may run again.
   */
  senders: z.array(senderSchema),
  /** Set when an operator released the order by name. */
  release: z
    .object({ operator: z.string(), reason: z.string(), atMs: z.number() })
    .optional(),
});
export type OrderRecord = z.infer<typeof orderRecordSchema>;

export const orderPartition = 'orders';

export const orderKey = (target: string): RowKey => ({
  partition: orderPartition,
  sort: target,
});
