/**
 * All numbered result codes. `npm run tables` generates `docs/ERRORS.md` from
 * this table; CI fails if the page differs from the table.
 */

/** A numbered result code. */
export interface ResultCode {
  readonly number: number;
  /** HTTP status of the response with this result. */
  readonly status: number;
  /** One sentence for `docs/ERRORS.md`. */
  readonly meaning: string;
}

const defineResultCode = (
  number: number,
  status: number,
  meaning: string,
): ResultCode => ({
  number,
  status,
  meaning,
});

/** The result codes by name. */
export const resultCodes = {
  // 1000: the caller's request
  malformed_body: defineResultCode(
    1001,
    400,
    'The request body is not valid JSON or UTF-8.',
  ),
  invalid_request: defineResultCode(
    1002,
    400,
    'A field of the request is missing or has an invalid value.',
  ),
  body_too_large: defineResultCode(
    1003,
    413,
    'The request body exceeds the configured size.',
  ),
  request_timeout: defineResultCode(
    1004,
    408,
    'The request body did not arrive in time.',
  ),
  unsupported_media: defineResultCode(
    1005,
    415,
    'The content type or encoding of the request is not supported.',
  ),
  unauthenticated: defineResultCode(
    1006,
    401,
    'The bearer key of the request is missing or unknown.',
  ),
  forbidden: defineResultCode(
    1007,
    403,
    'The bearer key does not permit the request.',
  ),
  not_found: defineResultCode(
    1008,
    404,
    'The requested path or object does not exist.',
  ),
  unknown_model: defineResultCode(
    1009,
    404,
    'The customer has no model of this name.',
  ),
  unknown_operation: defineResultCode(
    1010,
    404,
    'The customer has no operation of this name.',
  ),
  stream_not_found: defineResultCode(
    1011,
    404,
    'The stream is unknown or has expired.',
  ),
  caller_gone: defineResultCode(1012, 499, 'The caller closed the connection.'),
  headers_too_large: defineResultCode(
    1014,
    431,
    'The request headers exceed the allowed size.',
  ),
  poison_request: defineResultCode(
    1013,
    422,
    'The request was in flight at two target crashes and is refused.',
  ),

  poison_prompt: defineResultCode(
    1015,
    503,
    'A part of the prompt crashes targets, and the request is refused.',
  ),
  prompt_too_large: defineResultCode(
    1016,
    413,
    'The prompt is larger than the memory of an engine.',
  ),

  // 2000: non-idempotent operations
  key_required: defineResultCode(
    2001,
    400,
    'The operation requires an Idempotency-Key header.',
  ),
  key_conflict: defineResultCode(
    2002,
    409,
    'The idempotency key was used with another request body.',
  ),
  outcome_unknown: defineResultCode(
    2003,
    409,
    'An earlier run with this idempotency key may have taken effect.',
  ),
  still_running: defineResultCode(
    2004,
    409,
    'An earlier run with this idempotency key has not ended.',
  ),
  claim_unavailable: defineResultCode(
    2005,
    503,
    'The claim of the idempotency key could not be stored, so the operation was not run.',
  ),
  key_expired: defineResultCode(
    2006,
    409,
    'The idempotency key is older than the retention period.',
  ),

  // 3000: capacity, deadlines and targets
  overloaded: defineResultCode(
    3001,
    429,
    'The request queue of the service or customer is full.',
  ),
  rate_limited: defineResultCode(
    3002,
    429,
    'The customer exceeded its rate limit.',
  ),
  deadline_exceeded: defineResultCode(
    3003,
    504,
    'The deadline of the request passed.',
  ),
  no_target: defineResultCode(
    3004,
    503,
    'No target can serve the request at present.',
  ),
  target_failed: defineResultCode(
    3005,
    502,
    'The target or peer failed to answer the request.',
  ),
  target_rejected: defineResultCode(
    3006,
    502,
    'The target refused the request without running it.',
  ),
  retry_budget_exhausted: defineResultCode(
    3007,
    503,
    'The retry budget is exhausted.',
  ),
  shutting_down: defineResultCode(3008, 503, 'The instance is shutting down.'),
  slow_caller: defineResultCode(
    3009,
    499,
    'The caller read the response too slowly.',
  ),
  suspect_waiting: defineResultCode(
    3010,
    503,
    'The request was in flight at a target crash and waits to run in isolation.',
  ),
  stream_origin_unknown: defineResultCode(
    3011,
    503,
    'It is not known at which software version the stream began.',
  ),
  stream_version_gone: defineResultCode(
    3012,
    503,
    'No target of the software version that began the stream is left.',
  ),

  // 4000: configuration, authority and planned changes
  revision_conflict: defineResultCode(
    4001,
    409,
    'The change is based on a revision that is no longer the newest.',
  ),
  invalid_template: defineResultCode(4002, 422, 'The template is not valid.'),
  operation_reused: defineResultCode(
    4003,
    409,
    'The operation id was used for another change.',
  ),
  authority_lost: defineResultCode(
    4004,
    409,
    'Another instance holds the lease.',
  ),
  order_conflict: defineResultCode(
    4005,
    409,
    'The engine has another unfinished order.',
  ),
  unknown_target: defineResultCode(4006, 404, 'No target has this name.'),
  plan_conflict: defineResultCode(4007, 409, 'Another plan covers the target.'),
  plan_not_found: defineResultCode(4008, 404, 'No plan has this id.'),
  not_ready: defineResultCode(
    4009,
    503,
    'The instance has no configuration yet.',
  ),
  stale_revision: defineResultCode(
    4010,
    409,
    'The revision is older than the one in force.',
  ),
  plan_unsafe: defineResultCode(
    4011,
    409,
    'The plan would leave a role or model without a target.',
  ),
  key_unverifiable: defineResultCode(
    4012,
    503,
    'The instance does not know whether the key of the request is still valid.',
  ),

  // 5000: the platform
  platform_unavailable: defineResultCode(
    5001,
    503,
    'The platform did not accept the call.',
  ),
  platform_unknown: defineResultCode(
    5002,
    503,
    'The platform gave no response; the write may have taken effect.',
  ),
  platform_budget: defineResultCode(
    5003,
    503,
    'The rate limit of the instance for platform calls is exhausted.',
  ),
  condition_failed: defineResultCode(
    5004,
    409,
    'A condition of the write was not met.',
  ),

  // 6000: settings
  invalid_settings: defineResultCode(
    6001,
    422,
    'The settings file is not valid.',
  ),
  unreadable_file: defineResultCode(6002, 422, 'The file cannot be read.'),
  invalid_usage: defineResultCode(6003, 400, 'The command line is not valid.'),
  daemon_unreachable: defineResultCode(
    6004,
    503,
    'No instance answered the command.',
  ),

  // 9000: the system itself
  internal: defineResultCode(
    9001,
    500,
    'An internal error occurred; the log names the cause.',
  ),
} as const satisfies Record<string, ResultCode>;

/** Name of a result code. */
export type ResultName = keyof typeof resultCodes;
