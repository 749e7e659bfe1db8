/** Zod schemas of those operators' API responses whose fields the commands read. */
import { z } from 'zod';

/** Response to an accepted configuration change. */
export const applyResponseSchema = z.object({
  revision: z.number().int(),
  operationId: z.string(),
});

/**
 * State of a configuration change, looked up by operation id. `revision` is set
 * only for a committed change.
 */
export const operationStatusSchema = z.object({
  state: z.enum(['committed', 'unknown', 'absent']),
  revision: z.number().int().optional(),
});

const rowSchema = z.record(z.string(), z.unknown());
/** One row of a printed table: cell values by column name. */
export type TableRow = z.infer<typeof rowSchema>;
export const rowsSchema = z.array(rowSchema);

/** Status as the queried instance sees it, with the other instances it knows. */
export const statusSchema = z.object({
  instance: z.string(),
  revision: z.number().int(),
  ready: z.boolean(),
  instances: z
    .array(
      z.looseObject({
        name: z.string(),
        state: z.string(),
        revision: z.number().int().nullish(),
      }),
    )
    .default([]),
  targets: rowsSchema.default([]),
  queues: rowsSchema.default([]),
  roles: rowsSchema.default([]),
});
export type Status = z.infer<typeof statusSchema>;
