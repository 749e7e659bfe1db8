/** Schema of a target's registration. */
import { socketAddressSchema } from '@medlarlever/core';
import { z } from 'zod';

/**
 * Role of an engine: `prefill` engines only process prompts; `decode` engines
 * generate tokens and may also process prompts.
 */
export const targetRoleSchema = z.enum(['prefill', 'decode']);
export type TargetRole = z.infer<typeof targetRoleSchema>;

/** Registration of a target, in the form that instances exchange. */
export const targetRecordSchema = z.object({
  /** Id of the target; a restarted target may use it again. */
  id: z.string().min(1),
  /** Name of the service that the target belongs to. */
  service: z.string().min(1),
  /** Address as `ip:port`. */
  address: socketAddressSchema,
  dataCenter: z.string(),
  /** Requests that the target runs at the same time. */
  slots: z.number().int().positive(),
  /** True once the target takes no new requests. */
  leaving: z.boolean(),
  /** Absent for targets that are not engines. */
  role: targetRoleSchema.optional(),
  /** Version of the software, without an order; absent if it is not registered. */
  softwareVersion: z.string().optional(),
  /** Start time of the process, in epoch milliseconds of the target's clock. */
  startedAtMs: z.number().optional(),
  /** True if the platform may reclaim the target at any time. */
  isSpot: z.boolean().optional(),
  /** Milliseconds until a leaving target ends, as of the registration; absent if unknown. */
  leavesInMs: z.number().nonnegative().optional(),
});
export type TargetRecord = z.infer<typeof targetRecordSchema>;

/** Registrations in a message; one that can't be read does not hide the others. */
export const targetRecordsSchema = z.array(z.unknown()).transform(values =>
  values.flatMap(value => {
    const { data } = targetRecordSchema.safeParse(value);
    return data === undefined ? [] : [data];
  }),
);

/** Stands for the start of targets that do not state theirs. */
export const unknownStartMs = 0;

/** Returns the start of the target's process, which tells its incarnations apart. */
export const getStartMs = ({
  startedAtMs = unknownStartMs,
}: Pick<TargetRecord, 'startedAtMs'>): number => startedAtMs;
