/**
 * All numbered log events. `npm run tables` generates `docs/EVENTS.md` from
 * this table; CI fails if the page differs from the table.
 */

export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** A kind of log event. */
export interface LogEvent {
  /** Unique number of the event, written to the log as the field `event`. */
  readonly number: number;
  readonly level: EventLevel;
  /** One sentence for `docs/EVENTS.md`. */
  readonly meaning: string;
}

const defineEvent = (
  number: number,
  level: EventLevel,
  meaning: string,
): LogEvent => ({ number, level, meaning });

/** The numbered log events by name. */
export const logEvents = {
  // 100: process
  process_started: defineEvent(
    101,
    'info',
    'The process started and listens on its addresses.',
  ),
  process_draining: defineEvent(
    102,
    'info',
    'The instance began a graceful shutdown.',
  ),
  process_stopped: defineEvent(103, 'info', 'The process has stopped.'),
  step_failed: defineEvent(
    104,
    'error',
    'One run of a background task failed; the task continues.',
  ),
  request_failed: defineEvent(
    105,
    'warn',
    'A request ended with a numbered result code.',
  ),
  defect: defineEvent(
    106,
    'error',
    'An unexpected error occurred; please report it as a bug.',
  ),
  instance_saturated: defineEvent(
    107,
    'warn',
    'The event loop of the instance was busy all the time.',
  ),
  connection_limit: defineEvent(
    108,
    'warn',
    'The instance closed connections because it has too many, or because they hold too much unread input.',
  ),

  // 200: configuration and platform
  revision_in_force: defineEvent(
    201,
    'info',
    'The instance put a configuration revision in force.',
  ),
  revision_refused: defineEvent(
    202,
    'warn',
    'The instance refused a configuration older than a committed one.',
  ),
  platform_down: defineEvent(
    203,
    'warn',
    'The platform stopped answering calls.',
  ),
  platform_up: defineEvent(204, 'info', 'The platform answers calls again.'),
  write_unknown: defineEvent(
    205,
    'warn',
    'A write to the platform got no response; its outcome is not yet known.',
  ),
  store_restored: defineEvent(
    206,
    'error',
    "The platform's store was restored from a backup and lost its latest writes.",
  ),

  // 300: membership and authority
  instance_joined: defineEvent(
    301,
    'info',
    'This instance opened a link to another instance.',
  ),
  instance_suspected: defineEvent(
    302,
    'warn',
    'Another instance did not answer heartbeats.',
  ),
  instance_gone: defineEvent(
    303,
    'info',
    'The platform reported that an incarnation never runs again.',
  ),
  lease_acquired: defineEvent(304, 'info', 'This instance acquired a lease.'),
  lease_lost: defineEvent(305, 'warn', 'This instance lost a lease.'),
  order_sent: defineEvent(
    306,
    'info',
    'This instance sent an order to an engine.',
  ),
  order_finished: defineEvent(307, 'info', 'An order to an engine ended.'),
  order_stuck: defineEvent(
    308,
    'warn',
    'A new order is blocked: another process may still send an earlier one.',
  ),
  plan_changed: defineEvent(
    309,
    'info',
    'A planned change entered another state.',
  ),
  role_decided: defineEvent(
    310,
    'info',
    'The role policy decided to change the role of an engine.',
  ),

  // 400: requests and targets
  target_leaving: defineEvent(
    401,
    'info',
    'A target is leaving and gets no new requests.',
  ),
  target_opened: defineEvent(
    402,
    'warn',
    'The circuit breaker of a target opened.',
  ),
  target_closed: defineEvent(
    403,
    'info',
    'The circuit breaker of a target closed.',
  ),
  target_crashed: defineEvent(
    404,
    'warn',
    'A target crashed with requests in flight.',
  ),
  stream_resumed: defineEvent(
    405,
    'info',
    'A stream resumed after its connection to the engine broke.',
  ),
  request_suspected: defineEvent(
    406,
    'warn',
    'A request was in flight on a target that crashed.',
  ),
  request_poisoned: defineEvent(
    407,
    'error',
    'A request was in flight at two target crashes and is now refused.',
  ),
  claim_unknown: defineEvent(
    408,
    'warn',
    'The outcome of a non-idempotent operation is unknown.',
  ),
  claim_released: defineEvent(
    411,
    'info',
    'The claim of an idempotency key was released; nothing was run.',
  ),
  result_delayed: defineEvent(
    412,
    'warn',
    'The result of an operation could not yet be stored at the platform.',
  ),
  suspect_cleared: defineEvent(
    413,
    'info',
    'A suspected request ran in isolation without a crash.',
  ),
  suspect_unrecorded: defineEvent(
    414,
    'warn',
    'The record of a crash could not yet be stored at the platform.',
  ),

  claims_restored: defineEvent(
    415,
    'warn',
    'After a restore of the platform, this process wrote its idempotency records again.',
  ),

  // 500: relayed requests
  request_answered: defineEvent(
    501,
    'info',
    'A relayed request got a complete response.',
  ),
  request_ended: defineEvent(
    502,
    'warn',
    'A relayed request ended without a complete response.',
  ),
  attempt_failed: defineEvent(
    503,
    'warn',
    'An attempt to serve a request at a target failed.',
  ),
  request_resent: defineEvent(
    504,
    'info',
    'A request is sent again, to another target.',
  ),
  target_registered: defineEvent(
    505,
    'info',
    'A target was registered and gets requests.',
  ),
  feed_expired: defineEvent(
    506,
    'warn',
    'A change stream lost changes; all rows are read again.',
  ),
  row_unreadable: defineEvent(
    507,
    'warn',
    'A row of the platform could not be decoded and was skipped.',
  ),
  log_dropped: defineEvent(
    508,
    'warn',
    'Log lines were dropped by the rate limit or by a slow output.',
  ),
  settings_read: defineEvent(
    509,
    'info',
    'The instance read the settings file.',
  ),
  peer_heard: defineEvent(
    510,
    'info',
    'The instance loaded targets from the snapshot of a peer.',
  ),
  connections_dropped: defineEvent(
    511,
    'warn',
    'Connections to an unresponsive target were closed.',
  ),
  settings_refused: defineEvent(
    513,
    'error',
    'The changed settings file is not valid and was not applied.',
  ),
  cache_unlisted: defineEvent(
    512,
    'warn',
    'An engine did not list the contents of its prefix cache.',
  ),
  code_uncached: defineEvent(
    515,
    'info',
    'The daemon started without the compiled code of its bundle, and so more slowly.',
  ),
  target_quiet: defineEvent(
    514,
    'info',
    'A target asked for a pause; this instance sends it nothing until its end.',
  ),
  target_limited: defineEvent(
    516,
    'info',
    'A target named another limit for the requests of all instances, or none any more.',
  ),
  limit_unreadable: defineEvent(
    517,
    'warn',
    'A target named a limit that is not a number; the limit known before holds on.',
  ),
  prompt_part_refused: defineEvent(
    518,
    'error',
    'A part of prompts crashed several targets; prompts with it are refused.',
  ),
  refusals_read: defineEvent(
    524,
    'info',
    'What is refused because it crashes targets was read from the table at the start.',
  ),
  prompt_part_accepted: defineEvent(
    519,
    'info',
    'Prompts with a part that was held to crash targets are accepted again.',
  ),
  target_crash_refuted: defineEvent(
    520,
    'info',
    'A target that was reported as crashed has answered since.',
  ),
  target_link_down: defineEvent(
    521,
    'error',
    'This instance reaches no target; it hands requests to other instances.',
  ),
  target_link_up: defineEvent(
    522,
    'info',
    'This instance reaches targets again.',
  ),
  request_forwarded: defineEvent(
    523,
    'info',
    'A request was handed to another instance, as this one reaches no target.',
  ),
  key_refused: defineEvent(
    530,
    'warn',
    'A request was refused because its key is missing or unknown.',
  ),
  keys_unverifiable: defineEvent(
    531,
    'warn',
    'The instance began, or ceased, to refuse keys because its configuration may be outdated.',
  ),
  targets_ordered: defineEvent(
    550,
    'info',
    'The leader ordered another number of targets of a service in a data centre.',
  ),
  order_unavailable: defineEvent(
    551,
    'warn',
    'The platform did not take an order for targets, or has none to be had.',
  ),
  ordering_paused: defineEvent(
    552,
    'info',
    'The leader began to order no targets for the stated reason, or orders again.',
  ),
  usage_reported: defineEvent(
    540,
    'info',
    'The platform accepted the usage report of a window.',
  ),
  usage_late: defineEvent(
    541,
    'error',
    'The usage report of a window is due and not accepted, or was given up.',
  ),
  duty_call_failed: defineEvent(
    542,
    'warn',
    'The platform did not accept a call that only the leader sends.',
  ),
  answer_gave_way: defineEvent(
    526,
    'warn',
    'An answer was ended, because its caller read slowly and the buffers of the instance were full.',
  ),
} as const satisfies Record<string, LogEvent>;

/** Name of a log event, written to the log as the field `name`. */
export type EventName = keyof typeof logEvents;
