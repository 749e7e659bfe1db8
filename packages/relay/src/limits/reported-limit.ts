/** What instances tell each other of a target's limit. */
import { z } from 'zod';

/**
 * Target, its start time, the requests a second that it takes from all instances (null
 * if it no longer names a limit), and the milliseconds since it said so.
 */
export const reportedLimitSchema = z.tuple([
  z.string(),
  z.number(),
  z.number().nullable(),
  z.number(),
]);
export type ReportedLimit = z.infer<typeof reportedLimitSchema>;
