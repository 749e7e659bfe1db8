/** Templates: what operators submit, and what a customer gets from them. */
import { z } from 'zod';

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'must be lower-case letters, digits, ".", "_" or "-", at most 63',
  );

/** Text in which `${parameter}` stands for a parameter of the customer. */
const parameterizedTextSchema = z.string().min(1).max(256);

const parameterValueSchema = z.union([z.string(), z.number(), z.boolean()]);
export type ParameterValue = z.infer<typeof parameterValueSchema>;

const parameterSchema = z.strictObject({
  type: z.enum(['string', 'number', 'boolean']),
  /** Without it every customer must give the parameter. */
  default: parameterValueSchema.optional(),
});

const templateModelSchema = z.strictObject({
  /** Name by which the customer asks for it. */
  alias: nameSchema,
  name: parameterizedTextSchema,
  version: parameterizedTextSchema,
  adapter: parameterizedTextSchema.optional(),
});

export const rankingSettingsSchema = z.strictObject({
  class: z.enum(['interactive', 'standard', 'batch']).default('standard'),
  /** Larger goes first. */
  priority: z.number().int().min(0).max(9).default(5),
  /** The whole answer is due after this. */
  deadline_ms: z.number().int().min(100).max(3_600_000).default(60_000),
  /** The first token is due after this. */
  first_token_ms: z.number().int().min(10).max(600_000).default(1_400),
});
export type RankingSettings = z.infer<typeof rankingSettingsSchema>;

export const customerLimitsSchema = z.strictObject({
  /** Requests of one customer running at once. */
  in_flight: z.number().int().min(1).max(100_000).default(64),
  /** Requests of one customer waiting at one instance. */
  queued: z.number().int().min(0).max(100_000).default(64),
  /** Prompt and output tokens a minute for one customer. */
  tokens_per_minute: z.number().int().min(1).default(10_000_000),
  /** Claims of non-idempotent operations a minute for one customer. */
  claims_per_minute: z.number().int().min(1).default(600),
  max_output_tokens: z.number().int().min(1).max(1_000_000).default(4_096),
});
export type CustomerLimits = z.infer<typeof customerLimitsSchema>;

const templateOperationSchema = z.strictObject({
  service: nameSchema,
  operation: nameSchema,
  /** False: runs at most once for an idempotency key. */
  idempotent: z.boolean(),
  timeout_ms: z.number().int().min(50).max(600_000).default(10_000),
  /** How long the key of a non-idempotent operation is remembered. */
  retention_hours: z.number().int().min(1).max(8_760).default(168),
});
export type TemplateOperation = z.infer<typeof templateOperationSchema>;

const templateCustomerSchema = z.strictObject({
  /** SHA-256 of each bearer key, in hexadecimal. */
  key_hashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hex'))
    .min(1),
  parameters: z.record(z.string(), parameterValueSchema).default({}),
});
export type TemplateCustomer = z.infer<typeof templateCustomerSchema>;

export const templateSchema = z.strictObject({
  name: nameSchema,
  description: z.string().max(1_000).default(''),
  parameters: z.record(nameSchema, parameterSchema).default({}),
  models: z.array(templateModelSchema).default([]),
  ranking: rankingSettingsSchema.prefault({}),
  limits: customerLimitsSchema.prefault({}),
  operations: z.array(templateOperationSchema).default([]),
  customers: z.record(nameSchema, templateCustomerSchema).default({}),
});
/** A template as an operator writes it. */
export type Template = z.infer<typeof templateSchema>;

/** All templates in force together, at one revision. */
export const configurationSchema = z.object({
  /** Rises by one with every accepted change; 0 is the empty start. */
  revision: z.number().int().nonnegative(),
  /** Operation id of the change that made it. */
  operationId: z.string(),
  templates: z.record(z.string(), templateSchema),
});
export type Configuration = z.infer<typeof configurationSchema>;
