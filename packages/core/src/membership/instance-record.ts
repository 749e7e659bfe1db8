/** Records of entry instances, which instances exchange in heartbeats. */
import { z } from 'zod';

import { socketAddressSchema } from '../shared/socket-address.js';

/**
 * `suspected` means that heartbeats are missing; the instance may still be
 * running.
 */
export const instanceStateSchema = z.enum(['live', 'leaving', 'suspected']);
export type InstanceState = z.infer<typeof instanceStateSchema>;

/** State of one incarnation of an entry instance. */
export const instanceRecordSchema = z.object({
  name: z.string().min(1),
  dataCenter: z.string().min(1),
  incarnation: z.string().min(1),
  /** Peer address, `host:port`. */
  address: socketAddressSchema,
  state: instanceStateSchema,
  /** Configuration revision in force at the instance. */
  revision: z.number().int().nonnegative(),
  /**
   * Start of the process in milliseconds since the Unix epoch. Of two
   * incarnations, the one started later replaces the other.
   */
  startedAtMs: z.number(),
  /** Rises by one with each change that the instance makes to its record. */
  version: z.number().int().nonnegative(),
});
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;

/** Records in a message; one that can't be read does not hide the others. */
export const instanceRecordsSchema = z.array(z.unknown()).transform(values =>
  values.flatMap(value => {
    const { data } = instanceRecordSchema.safeParse(value);
    return data === undefined ? [] : [data];
  }),
);

/** True if `candidate` is newer than `current` and replaces it. */
export const isNewerRecord = (
  candidate: InstanceRecord,
  current: InstanceRecord | undefined,
): boolean => {
  if (current === undefined) return true;
  if (candidate.incarnation !== current.incarnation) {
    return candidate.startedAtMs > current.startedAtMs;
  }
  return candidate.version > current.version;
};
