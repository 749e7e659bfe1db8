/**
 * Every numbered log event. `docs/EVENTS.md` is written from this table by
 * `npm run tables`; CI fails when the two differ.
 */

export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One numbered event of the log. */
export interface LogEvent {
  readonly number: number;
  readonly level: EventLevel;
  readonly meaning: string;
}

const defineEvent = (
  number: number,
  level: EventLevel,
  meaning: string,
): LogEvent => ({ number, level, meaning });

export const logEvents = {
  // 100: process
  process_started: defineEvent(
    101,
    'info',
    'The process listens on its addresses.',
  ),
  process_draining: defineEvent(102, 'info', 'A graceful shutdown began.'),
  process_stopped: defineEvent(103, 'info', 'The process has stopped.'),
  step_failed: defineEvent(
    104,
    'error',
    'A background step failed and goes on.',
  ),
  request_failed: defineEvent(
    105,
    'warn',
    'A request ended with a numbered result.',
  ),
  defect: defineEvent(106, 'error', 'An unexpected error; please report it.'),

  // 200: configuration and platform
  revision_in_force: defineEvent(
    201,
    'info',
    'A configuration came into force.',
  ),
  revision_refused: defineEvent(
    202,
    'warn',
    'An older configuration was refused.',
  ),
  platform_down: defineEvent(203, 'warn', 'The platform stopped answering.'),
  platform_up: defineEvent(204, 'info', 'The platform answers again.'),
  write_unknown: defineEvent(
    205,
    'warn',
    'A write has no answer; it is read back.',
  ),

  // 300: membership and authority
  instance_joined: defineEvent(301, 'info', 'An instance appeared.'),
  instance_suspected: defineEvent(
    302,
    'warn',
    'An instance sends no heartbeat.',
  ),
  instance_gone: defineEvent(303, 'info', 'An incarnation is confirmed gone.'),
  lease_acquired: defineEvent(304, 'info', 'The instance took a lease.'),
  lease_lost: defineEvent(305, 'warn', 'The instance lost a lease.'),
  order_sent: defineEvent(306, 'info', 'An order went to an engine.'),
  order_finished: defineEvent(307, 'info', 'An order ended.'),
  order_stuck: defineEvent(308, 'warn', 'An order waits for release.'),
  plan_changed: defineEvent(309, 'info', 'A planned change moved on.'),
  role_decided: defineEvent(310, 'info', 'The role policy decided a change.'),

  // 400: requests and targets
  target_leaving: defineEvent(401, 'info', 'A target takes no new work.'),
  target_opened: defineEvent(402, 'warn', 'The circuit of a target opened.'),
  target_closed: defineEvent(403, 'info', 'The circuit of a target closed.'),
  target_crashed: defineEvent(404, 'warn', 'A target broke off its requests.'),
  stream_resumed: defineEvent(405, 'info', 'A stream went on after a break.'),
  request_suspected: defineEvent(
    406,
    'warn',
    'A request ran on a crashing target.',
  ),
  request_poisoned: defineEvent(
    407,
    'error',
    'A request is refused as poison.',
  ),
  claim_unknown: defineEvent(
    408,
    'warn',
    'A claim ended with an unknown outcome.',
  ),
  claim_released: defineEvent(
    411,
    'info',
    'A claim was released; nothing was run.',
  ),
  result_delayed: defineEvent(412, 'warn', 'A result waits for the platform.'),
  suspect_cleared: defineEvent(
    413,
    'info',
    'A suspect ran apart without a crash.',
  ),
  suspect_unrecorded: defineEvent(414, 'warn', 'A crash awaits its record.'),

  // 500: relayed requests
  request_answered: defineEvent(501, 'info', 'A relayed request was answered.'),
  request_ended: defineEvent(
    502,
    'warn',
    'A relayed request ended without answer.',
  ),
  attempt_failed: defineEvent(503, 'warn', 'A target did not serve a send.'),
  request_resent: defineEvent(504, 'info', 'A request goes to another target.'),
  target_registered: defineEvent(505, 'info', 'A target takes work.'),
  feed_expired: defineEvent(
    506,
    'warn',
    'Changes were lost; all rows are read.',
  ),
  row_unreadable: defineEvent(
    507,
    'warn',
    'A row of the platform was skipped.',
  ),
  log_dropped: defineEvent(508, 'warn', 'Log lines were left out.'),
  settings_read: defineEvent(509, 'info', 'The settings file was read.'),
  peer_heard: defineEvent(510, 'info', 'A neighbour told newer state.'),
  connections_dropped: defineEvent(
    511,
    'warn',
    'Silent connections were closed.',
  ),
  settings_refused: defineEvent(
    513,
    'error',
    'Changed settings cannot be used.',
  ),
  cache_unlisted: defineEvent(512, 'warn', 'An engine did not list its cache.'),
} as const satisfies Record<string, LogEvent>;

/** Name of a numbered event. */
export type EventName = keyof typeof logEvents;
