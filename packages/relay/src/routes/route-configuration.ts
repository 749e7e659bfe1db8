/** Routes, services and caller limits: the configuration of the relay. */
import { z } from 'zod';

/** What may be repeated: `stream` is treated as non-idempotent unless resumable. */
export const routeKindSchema = z.enum([
  'idempotent',
  'non_idempotent',
  'stream',
]);
export type RouteKind = z.infer<typeof routeKindSchema>;

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash; the longest match wins. */
  prefix: z.string(),
  kind: routeKindSchema,
  /** Longest time that a caller is kept waiting. */
  timeoutMs: z.number().positive(),
  /** Time within which the answer, or its first event, is on time. */
  latencyTargetMs: z.number().positive(),
  /** 0 is the most urgent. */
  rank: z.number().int().nonnegative(),
  /** Services that share the requests by weight. */
  services: z
    .array(z.object({ name: z.string(), weight: z.number().nonnegative() }))
    .min(1),
  /** Targets to which one request may be sent. */
  maxAttempts: z.number().int().positive(),
  /** True when a stream may go on at another target after its last event. */
  resumable: z.boolean(),
});
export type Route = z.infer<typeof routeSchema>;

/** What is told of the engines of a service. */
export const engineSettingsSchema = z.object({
  slots: z.number().int().positive(),
  /** Tokens that running requests and cached parts share. */
  kvTokens: z.number().positive(),
  /** Time to move the memory of a token from one engine to another. */
  transferMsPerToken: z.number().nonnegative(),
  /** Seconds that an engine is away for a change of role. */
  roleChangeS: z.number().nonnegative(),
});
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that a target takes from all instances together. */
  maxConnections: z.number().int().positive(),
  /** Present for language model engines. */
  engine: engineSettingsSchema.optional(),
});
export type Service = z.infer<typeof serviceSchema>;

export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().int().positive(),
  idleTimeoutMs: z.number().int().positive(),
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

export const routeConfigurationSchema = z.object({
  /** Rises with each change, in uneven steps. */
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
});
export type RouteConfiguration = z.infer<typeof routeConfigurationSchema>;
