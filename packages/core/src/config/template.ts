/** Schemas of the templates that operators submit and of a configuration. */
import { z } from 'zod';

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'must be lower-case letters, digits, ".", "_" or "-", at most 63',
  );

/** Text in which `${name}` is replaced by the customer's parameter `name`. */
const parameterizedTextSchema = z.string().min(1).max(256);

const parameterValueSchema = z.union([z.string(), z.number(), z.boolean()]);
export type ParameterValue = z.infer<typeof parameterValueSchema>;

const parameterSchema = z.strictObject({
  type: z.enum(['string', 'number', 'boolean']),
  /** Value for customers that don't set it; without one, each must set it. */
  default: parameterValueSchema.optional(),
});

const templateModelSchema = z.strictObject({
  /** Name of the model in the customer's requests. */
  alias: nameSchema,
  name: parameterizedTextSchema,
  version: parameterizedTextSchema,
  adapter: parameterizedTextSchema.optional(),
});

/** Service class, priority and deadlines of a template's requests. */
export const rankingSettingsSchema = z.strictObject({
  class: z.enum(['interactive', 'standard', 'batch']).default('standard'),
  /** Requests with a larger value are served first. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Time from arrival to the end of the response, in milliseconds. */
  deadline_ms: z.number().int().min(100).max(3_600_000).default(60_000),
  /** Time from arrival to the first token, in milliseconds. */
  first_token_ms: z.number().int().min(10).max(600_000).default(1_400),
});
export type RankingSettings = z.infer<typeof rankingSettingsSchema>;

/** Limits that apply to each customer of a template separately. */
export const customerLimitsSchema = z.strictObject({
  /** Maximum number of running requests of one customer. */
  in_flight: z.number().int().min(1).max(100_000).default(64),
  /** Maximum number of queued requests of one customer at one instance. */
  queued: z.number().int().min(0).max(100_000).default(64),
  /** Maximum of prompt and output tokens per minute for one customer. */
  tokens_per_minute: z.number().int().min(1).default(10_000_000),
  /**
   * Maximum number of claims of idempotency keys per minute for one customer.
   */
  claims_per_minute: z.number().int().min(1).default(600),
  max_output_tokens: z.number().int().min(1).max(1_000_000).default(4_096),
});
export type CustomerLimits = z.infer<typeof customerLimitsSchema>;

/** An operation of a plain service that the customers may call. */
const templateOperationSchema = z.strictObject({
  service: nameSchema,
  operation: nameSchema,
  /** If false, the operation runs at most once per idempotency key. */
  idempotent: z.boolean(),
  timeout_ms: z.number().int().min(50).max(600_000).default(10_000),
  /**
   * Hours after the claim of an idempotency key during which its answer is
   * replayed; older keys are rejected as expired.
   */
  retention_hours: z.number().int().min(1).max(8_760).default(168),
});
export type TemplateOperation = z.infer<typeof templateOperationSchema>;

const templateCustomerSchema = z.strictObject({
  /** SHA-256 of each of the customer's bearer keys, in hexadecimal. */
  key_hashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hex'))
    .min(1),
  parameters: z.record(z.string(), parameterValueSchema).default({}),
});
export type TemplateCustomer = z.infer<typeof templateCustomerSchema>;

/**
 * Models, operations, limits and customers that operators configure together.
 */
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

/** All templates of one revision. */
export const configurationSchema = z.object({
  /** Rises by one with each committed change; 0 is the empty configuration. */
  revision: z.number().int().nonnegative(),
  /** Operation id of the change that created the revision. */
  operationId: z.string(),
  templates: z.record(z.string(), templateSchema),
});
export type Configuration = z.infer<typeof configurationSchema>;
