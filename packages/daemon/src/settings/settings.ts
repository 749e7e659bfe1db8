/**
 * Schema of the settings of one daemon process, which are read from a TOML
 * file. Keys that end in `_ms` are in milliseconds.
 */
import { roleSettingsSchema } from '@medlarlever/core';
import { z } from 'zod';

const addressSchema = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be "ip:port"');

const urlSchema = z.url({ protocol: /^https?$/ });

const keyHashSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in lower-case hex');

const secretSchema = z.string().min(16, 'must have at least 16 characters');

const instanceSchema = z.strictObject({
  /** Unique within the deployment. */
  name: z.string().min(1).max(63),
  data_center: z.string().min(1).max(63),
  deployment: z.string().min(1).max(63),
  /** The platform's id for this start of the instance, if it assigns one. */
  incarnation: z.string().min(1).max(128).optional(),
});

const listenSchema = z.strictObject({
  caller: addressSchema,
  operator: addressSchema,
  peer: addressSchema,
});

const platformSchema = z.strictObject({
  table_url: urlSchema,
  table_name: z.string().min(1).default('medlarlever'),
  object_url: urlSchema,
  bucket: z.string().min(1).default('medlarlever'),
  fleet_url: urlSchema,
  timeout_ms: z.number().int().min(50).max(60_000).default(2_000),
  /**
   * Rate limits of table access for the whole deployment; each live instance
   * uses an equal share.
   */
  reads_per_second: z.number().int().min(1).default(2_000),
  writes_per_second: z.number().int().min(1).default(300),
});

const peersSchema = z.strictObject({
  secret: secretSchema,
  /** Peer addresses to try if the platform is unreachable at start. */
  seeds: z.array(addressSchema).default([]),
});

const operatorSchema = z.strictObject({
  name: z.string().min(1).max(63),
  key_hash: keyHashSchema,
});

const streamsSchema = z.strictObject({
  /** Key that signs stream ids; must be the same on all instances. */
  secret: secretSchema,
  heartbeat_limit_ms: z.number().int().min(500).max(60_000).default(3_000),
});

const requestsSchema = z.strictObject({
  max_body_bytes: z.number().int().min(1_024).default(8_388_608),
  /**
   * Memory for bodies that are being read, at all interfaces together. One that has not grown
   * for longest is refused if there is too little.
   */
  max_buffered_bytes: z.number().int().min(1_048_576).default(134_217_728),
  body_timeout_ms: z.number().int().min(100).default(10_000),
  /** Maximum number of requests that this instance runs at once per service. */
  concurrency: z.number().int().min(1).default(256),
  queue: z.number().int().min(0).default(512),
});

const connectionsSchema = z.strictObject({
  /**
   * Open connections at all interfaces together. Beyond that, the one is closed that has been
   * idle for longest.
   */
  max: z.number().int().min(10).default(4_096),
  /** Memory for what connections send ahead of the answers, at all interfaces together. */
  max_held_bytes: z.number().int().min(1_048_576).default(16_777_216),
});

const targetsSchema = z.strictObject({
  /**
   * Names of the engines that refuse commands with an outdated fencing token.
   */
  checks_fencing: z.array(z.string()).default([]),
});

const rolesSchema = roleSettingsSchema.extend({
  period_ms: z.number().int().min(100).default(2_000),
});

const shutdownSchema = z.strictObject({
  /**
   * How long the instance keeps accepting requests after it starts to report
   * not ready, so that the load balancer stops routing to it.
   */
  notice_ms: z.number().int().min(0).default(1_000),
  /**
   * Longest wait for running requests, counted from the end of `notice_ms`.
   * Streams that still run then are ended here, and their callers resume them
   * through other instances.
   */
  grace_ms: z.number().int().min(0).default(60_000),
});

/** Validates the settings and fills in defaults. */
export const settingsSchema = z.strictObject({
  instance: instanceSchema,
  listen: listenSchema,
  platform: platformSchema,
  peers: peersSchema,
  operators: z.array(operatorSchema).min(1),
  streams: streamsSchema,
  requests: requestsSchema.prefault({}),
  connections: connectionsSchema.prefault({}),
  targets: targetsSchema.prefault({}),
  roles: rolesSchema.prefault({}),
  shutdown: shutdownSchema.prefault({}),
});
/** Validated settings with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
