/** Where a stream began. */
import { z } from 'zod';

import type { TargetRecord } from '../targets/target-record.js';

/** Service and software version of the target that made a stream's first events. */
export const streamOriginSchema = z.object({
  service: z.string(),
  /** Absent if the target's registration names none, which counts as a version. */
  softwareVersion: z.string().optional(),
});
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/**
 * What instances tell each other of a stream: the request that begins it, and the
 * service and software version of the target (empty if its registration names none).
 */
export const begunStreamSchema = z.tuple([z.string(), z.string(), z.string()]);
export type BegunStream = z.infer<typeof begunStreamSchema>;

/**
 * True if the target can make the next events of a stream with the origin, or begin a
 * stream without one. What two software versions write doesn't fit together.
 */
export const canContinueStream = (
  { softwareVersion }: TargetRecord,
  origin: StreamOrigin | undefined,
): boolean =>
  origin === undefined || softwareVersion === origin.softwareVersion;
