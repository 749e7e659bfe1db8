/** Settings of one daemon process, read from a TOML file. */
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
  /** Unique in the deployment. */
  name: z.string().min(1).max(63),
  data_center: z.string().min(1).max(63),
  deployment: z.string().min(1).max(63),
  /** The platform's name for this start of the instance, if it gives one. */
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
  /** Shares of the whole deployment, divided among live instances. */
  reads_per_second: z.number().int().min(1).default(2_000),
  writes_per_second: z.number().int().min(1).default(300),
});

const peersSchema = z.strictObject({
  secret: secretSchema,
  /** Peer addresses to try when the platform is away at start. */
  seeds: z.array(addressSchema).default([]),
});

const operatorSchema = z.strictObject({
  name: z.string().min(1).max(63),
  key_hash: keyHashSchema,
});

const streamsSchema = z.strictObject({
  /** Signs stream ids; the same on all instances. */
  secret: secretSchema,
  heartbeat_limit_ms: z.number().int().min(500).max(60_000).default(3_000),
});

const requestsSchema = z.strictObject({
  max_body_bytes: z.number().int().min(1_024).default(8_388_608),
  body_timeout_ms: z.number().int().min(100).default(10_000),
  /** Requests running at once in each service, for this instance. */
  concurrency: z.number().int().min(1).default(256),
  queue: z.number().int().min(0).default(512),
});

const targetsSchema = z.strictObject({
  /** Engines that refuse an order with an old fencing number. */
  checks_fencing: z.array(z.string()).default([]),
});

const rolesSchema = roleSettingsSchema.extend({
  period_ms: z.number().int().min(100).default(2_000),
});

const shutdownSchema = z.strictObject({
  /** Time for the balancer to see that the instance is not ready. */
  notice_ms: z.number().int().min(0).default(1_000),
  /** Streams still running after this are left to be rejoined elsewhere. */
  grace_ms: z.number().int().min(0).default(60_000),
});

export const settingsSchema = z.strictObject({
  instance: instanceSchema,
  listen: listenSchema,
  platform: platformSchema,
  peers: peersSchema,
  operators: z.array(operatorSchema).min(1),
  streams: streamsSchema,
  requests: requestsSchema.prefault({}),
  targets: targetsSchema.prefault({}),
  roles: rolesSchema.prefault({}),
  shutdown: shutdownSchema.prefault({}),
});
/** Settings with every default filled in. */
export type Settings = z.infer<typeof settingsSchema>;
