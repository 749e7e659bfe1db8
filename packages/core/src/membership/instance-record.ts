/** What instances tell each other about themselves and others. */
import { z } from 'zod';

/** `suspected` is a hint: no heartbeat came. It proves nothing. */
export const instanceStateSchema = z.enum(['live', 'leaving', 'suspected']);
export type InstanceState = z.infer<typeof instanceStateSchema>;

/** One incarnation of an entry instance. */
export const instanceRecordSchema = z.object({
  name: z.string().min(1),
  dataCenter: z.string().min(1),
  incarnation: z.string().min(1),
  /** Peer address, `host:port`. */
  address: z.string().min(1),
  state: instanceStateSchema,
  /** Configuration revision in force there. */
  revision: z.number().int().nonnegative(),
  /** Start of the process in epoch milliseconds; the later start wins. */
  startedAtMs: z.number(),
  /** Rises with each change that the instance makes to its own record. */
  version: z.number().int().nonnegative(),
});
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;

/** True when `next` replaces `held`. */
export const isNewerRecord = (
  next: InstanceRecord,
  held: InstanceRecord | undefined,
): boolean => {
  if (held === undefined) return true;
  if (next.incarnation !== held.incarnation) {
    return next.startedAtMs > held.startedAtMs;
  }
  return next.version > held.version;
};
