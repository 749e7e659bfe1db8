/**
 * Every numbered result of the system. `docs/ERRORS.md` is written from this
 * table by `npm run tables`; CI fails when the two differ.
 */

/** One numbered result: its HTTP status and what the reader should do. */
export interface ResultCode {
  readonly number: number;
  /** Status of the HTTP answer that carries it. */
  readonly status: number;
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

export const resultCodes = {
  // 1000: the caller's request
  malformed_body: defineResultCode(
    1001,
    400,
    'The body is not valid JSON or UTF-8.',
  ),
  invalid_request: defineResultCode(
    1002,
    400,
    'A field of the request is not allowed.',
  ),
  body_too_large: defineResultCode(
    1003,
    413,
    'The body exceeds the configured size.',
  ),
  request_timeout: defineResultCode(
    1004,
    408,
    'The body did not arrive in time.',
  ),
  unsupported_media: defineResultCode(
    1005,
    415,
    'Content type or encoding unsupported.',
  ),
  unauthenticated: defineResultCode(
    1006,
    401,
    'The bearer key is missing or unknown.',
  ),
  forbidden: defineResultCode(1007, 403, 'The key does not permit this.'),
  not_found: defineResultCode(1008, 404, 'No such path or object.'),
  unknown_model: defineResultCode(1009, 404, 'The customer has no such model.'),
  unknown_operation: defineResultCode(
    1010,
    404,
    'The customer has no such operation.',
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
    'The headers exceed the allowed size.',
  ),
  poison_request: defineResultCode(
    1013,
    422,
    'This request crashed two targets and is refused.',
  ),

  // 2000: non-idempotent operations
  key_required: defineResultCode(
    2001,
    400,
    'The operation needs an Idempotency-Key.',
  ),
  key_conflict: defineResultCode(
    2002,
    409,
    'The key was used with another body.',
  ),
  outcome_unknown: defineResultCode(
    2003,
    409,
    'An earlier run with this key may have taken effect.',
  ),
  still_running: defineResultCode(
    2004,
    409,
    'An earlier run with this key continues.',
  ),
  claim_unavailable: defineResultCode(
    2005,
    503,
    'The claim could not be stored, so the operation was not run.',
  ),
  key_expired: defineResultCode(
    2006,
    409,
    'The key is older than the retention period.',
  ),

  // 3000: capacity, deadlines and targets
  overloaded: defineResultCode(
    3001,
    429,
    'The queue of the service or customer is full.',
  ),
  rate_limited: defineResultCode(3002, 429, 'The customer exceeded its rate.'),
  deadline_exceeded: defineResultCode(3003, 504, 'The deadline passed.'),
  no_target: defineResultCode(3004, 503, 'No target can take the request now.'),
  target_failed: defineResultCode(3005, 502, 'The target failed.'),
  target_rejected: defineResultCode(
    3006,
    502,
    'The target refused the request unrun.',
  ),
  retry_budget_exhausted: defineResultCode(
    3007,
    503,
    'The retry budget is used up.',
  ),
  shutting_down: defineResultCode(3008, 503, 'The instance is shutting down.'),
  slow_caller: defineResultCode(3009, 499, 'The caller read too slowly.'),
  suspect_waiting: defineResultCode(
    3010,
    503,
    'The request ran on a crashing target and waits to be run apart.',
  ),

  // 4000: configuration, authority and planned changes
  revision_conflict: defineResultCode(
    4001,
    409,
    'The configuration has moved on.',
  ),
  invalid_template: defineResultCode(4002, 422, 'The template is not valid.'),
  operation_reused: defineResultCode(
    4003,
    409,
    'The operation id names another change.',
  ),
  authority_lost: defineResultCode(
    4004,
    409,
    'The lease is held by another instance.',
  ),
  order_conflict: defineResultCode(
    4005,
    409,
    'The engine has another unfinished order.',
  ),
  unknown_target: defineResultCode(4006, 404, 'No such target.'),
  plan_conflict: defineResultCode(4007, 409, 'Another plan covers the target.'),
  plan_not_found: defineResultCode(4008, 404, 'No such plan.'),
  not_ready: defineResultCode(
    4009,
    503,
    'The instance has no configuration yet.',
  ),
  stale_revision: defineResultCode(
    4010,
    409,
    'The revision is older than the one held.',
  ),
  plan_unsafe: defineResultCode(
    4011,
    409,
    'The plan would leave a role or model unserved.',
  ),

  // 5000: the platform
  platform_unavailable: defineResultCode(
    5001,
    503,
    'The platform did not take the call.',
  ),
  platform_unknown: defineResultCode(
    5002,
    503,
    'The platform gave no answer; the write may have taken effect.',
  ),
  platform_budget: defineResultCode(
    5003,
    503,
    'The call budget of the table is used up.',
  ),
  condition_failed: defineResultCode(
    5004,
    409,
    'A condition of the write did not hold.',
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
  internal: defineResultCode(9001, 500, 'A defect; the log names the cause.'),
} as const satisfies Record<string, ResultCode>;

/** Name of a numbered result. */
export type ResultName = keyof typeof resultCodes;
