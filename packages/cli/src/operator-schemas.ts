/** Answers of the operators' interface that the commands look into. */
import { z } from 'zod';

export const applyResponseSchema = z.object({
  revision: z.number().int(),
  operationId: z.string(),
});

export const operationStatusSchema = z.object({
  state: z.enum(['committed', 'unknown', 'absent']),
  revision: z.number().int().optional(),
});

const rowSchema = z.record(z.string(), z.unknown());
export type TableRow = z.infer<typeof rowSchema>;
export const rowsSchema = z.array(rowSchema);

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
