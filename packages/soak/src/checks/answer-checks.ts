/** What callers get, and what targets run for them. */
import type { Arrival } from '@medlarlever/platform/stand-ins';

import type { Attempt, RunRecord } from '../run/run-record.js';
import { maxAttempts } from '../run/configuration.js';

import { groupBy, isInstanceAnswer, refusalStatuses } from './check.js';
import type { Check, Violation } from './check.js';

const okStatus = 200;

const groupExecutionsByAttempt = (
  evidence: RunRecord,
): Map<string, Arrival[]> =>
  groupBy(
    evidence.arrivals.filter(({ ran }) => ran),
    ({ attempt }) => attempt,
  );

/** The text that a whole answer of the runs must have. */
const createExpectedText = (
  attempt: Attempt,
  runs: readonly Arrival[],
): string => {
  if (attempt.kind !== 'stream') {
    const run = runs.find(({ seal }) => seal === attempt.end?.seal);
    return run?.answer ?? '';
  }
  const events = Number(attempt.path.split('/').at(-1));
  return Array.from(
    { length: events },
    (_, i) => `id: ${i + 1}\ndata: ${attempt.id} ${i + 1}\n\n`,
  ).join('');
};

/** A success is the whole answer of a run of this very request. */
export const checkCompleteAnswers: Check = evidence => {
  const runs = groupExecutionsByAttempt(evidence);
  return evidence.attempts.flatMap(attempt => {
    const { end, id } = attempt;
    if (end?.status !== okStatus || !end.whole) return [];
    const own = runs.get(id) ?? [];
    const sealed = own.some(({ seal }) => seal === end.seal);
    if (sealed && end.body === createExpectedText(attempt, own)) return [];
    const seen = `${id} at ${attempt.instance}: ${JSON.stringify(end)}`;
    return [{ promise: 'a success is whole and of its own request', seen }];
  });
};

/** Also a stream that breaks off has each event once and in order. */
export const checkEventOrder: Check = evidence =>
  evidence.attempts.flatMap(attempt => {
    const { end, id, kind } = attempt;
    if (kind !== 'stream' || end?.status !== okStatus) return [];
    const ids = [...end.body.matchAll(/^id: (\d+)$/gm)].map(found =>
      Number(found[1]),
    );
    if (ids.every((number, i) => number === i + 1)) return [];
    const seen = `${id} at ${attempt.instance}: events ${ids.join(' ')}`;
    return [{ promise: 'events come once and in order', seen }];
  });

/** Targets run what callers sent, and nothing else. */
export const checkUnchangedRequests: Check = evidence => {
  const attempts = new Map(evidence.attempts.map(one => [one.id, one]));
  return evidence.arrivals.flatMap(arrival => {
    const sent = attempts.get(arrival.attempt);
    const same =
      sent?.method === arrival.method &&
      sent.path === arrival.path &&
      sent.body === arrival.body;
    if (same) return [];
    const seen = JSON.stringify(arrival);
    return [{ promise: 'targets get requests unchanged', seen }];
  });
};

/** What may not be repeated runs once at most; the rest as often as allowed. */
export const checkExecutionCounts: Check = evidence => {
  const runs = groupExecutionsByAttempt(evidence);
  return evidence.attempts.flatMap(({ id, kind }): Violation[] => {
    const count = (runs.get(id) ?? []).length;
    const most = kind === 'non_idempotent' ? 1 : maxAttempts;
    if (count <= most) return [];
    const seen = `${kind} ${id} ran ${count} times`;
    return [{ promise: 'a request runs no more often than allowed', seen }];
  });
};

/** "Not run" is true, also later. */
export const checkRefusedRequests: Check = evidence => {
  const runs = groupExecutionsByAttempt(evidence);
  return evidence.attempts.flatMap((attempt): Violation[] => {
    const { id, kind, end } = attempt;
    if (kind !== 'non_idempotent' || !isInstanceAnswer(attempt)) return [];
    if (!refusalStatuses.has(end?.status ?? 0) || !runs.has(id)) return [];
    const seen = `${id} got ${end?.status ?? 0} from ${attempt.instance}`;
    return [{ promise: 'a refused request has not run', seen }];
  });
};

/** Proper requests are not refused as if they were wrong. */
export const checkValidRequestsAccepted: Check = ({ attempts }) =>
  attempts.flatMap((attempt): Violation[] => {
    const { id, end, path } = attempt;
    const status = end?.status ?? 0;
    const denied =
      status >= 300 && status < 500 && !refusalStatuses.has(status);
    if (!denied || !isInstanceAnswer(attempt)) return [];
    const seen = `${id} ${path} got ${status} from ${attempt.instance}`;
    return [{ promise: 'no proper request is denied', seen }];
  });
