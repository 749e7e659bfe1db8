/** Schema of the relay's configuration: routes, services and caller limits. */
import { z } from 'zod';

/**
 * Kind of a route, which decides on retries. `stream` is treated as non-idempotent
 * unless the route is resumable.
 */
export const routeKindSchema = z.enum([
  'idempotent',
  'non_idempotent',
  'stream',
]);
export type RouteKind = z.infer<typeof routeKindSchema>;

/** Assigns the requests of a host and path prefix to services. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path prefix that begins and ends with a slash; the longest match wins. */
  prefix: z.string(),
  kind: routeKindSchema,
  /** Longest time from the arrival of a request to the end of its answer. */
  timeoutMs: z.number().positive(),
  /** Target latency of the answer, or of its first event for streams. */
  latencyTargetMs: z.number().positive(),
  /** Longest time between the events of a stream that the route aims for. */
  eventGapMs: z.number().positive().optional(),
  /** Priority of the requests; 0 is the most urgent. */
  rank: z.number().int().nonnegative(),
  /** Services among which the requests are split in proportion to the weights. */
  services: z
    .array(z.object({ name: z.string(), weight: z.number().nonnegative() }))
    .min(1),
  /** Largest number of sends of one request that targets may have executed. */
  maxAttempts: z.number().int().positive(),
  /** True when a stream may be resumed at another target after its last event. */
  resumable: z.boolean(),
  /** True when the requests of the route need no customer key. */
  anonymous: z.boolean().default(false),
});
export type Route = z.infer<typeof routeSchema>;

/** Properties of the engines of a service. */
export const engineSettingsSchema = z.object({
  /** Requests that one engine runs at the same time. */
  slots: z.number().int().positive(),
  /** KV cache size in tokens, shared by running requests and cached segments. */
  kvTokens: z.number().positive(),
  /** Time to transfer the KV cache of one token between engines. */
  transferMsPerToken: z.number().nonnegative(),
  /** Seconds that an engine is unavailable during a role change. */
  roleChangeS: z.number().nonnegative(),
});
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** Bounds and prices for ordering targets of a service. */
export const scalingSettingsSchema = z.object({
  /** Fewest and most targets in each data centre, on-demand and spot ones together. */
  min: z.number().int().nonnegative(),
  max: z.number().int().nonnegative(),
  /** Time from an order until a new target serves, in milliseconds. */
  startupMs: z.number().nonnegative(),
  /** Price of a spot target, as a fraction of that of an on-demand target. */
  spotPrice: z.number().nonnegative(),
  /** Price of an on-demand target for one second, by data centre. */
  prices: z.record(z.string(), z.number().nonnegative()),
});
export type ScalingSettings = z.infer<typeof scalingSettingsSchema>;

/** A service that routes refer to by its name. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one target accepts from all instances together. */
  maxConnections: z.number().int().positive(),
  /** Present for language model engines. */
  engine: engineSettingsSchema.optional(),
  /** Present if targets of the service can be ordered. */
  scaling: scalingSettingsSchema.optional(),
});
export type Service = z.infer<typeof serviceSchema>;

/** Limits for the callers' connections: sizes in bytes, times in milliseconds. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().int().positive(),
  idleTimeoutMs: z.number().int().positive(),
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** A customer and the hashes of the keys that its requests carry. */
export const customerSchema = z.object({
  name: z.string(),
  /** SHA-256 hashes of the keys, in base64url. */
  keyHashes: z.array(z.string()),
  /** Priority that replaces the rank of the route; 0 is the most urgent. */
  rank: z.number().int().nonnegative().optional(),
});
export type Customer = z.infer<typeof customerSchema>;

/** The whole configuration of the relay. */
export const routeConfigurationSchema = z.object({
  /** Increases with each change, not always by 1. */
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Undefined if requests need no key. */
  customers: z.array(customerSchema).optional(),
});
export type RouteConfiguration = z.infer<typeof routeConfigurationSchema>;
