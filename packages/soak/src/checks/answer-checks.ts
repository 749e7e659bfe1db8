/**
 * Checks of the responses that callers received and of the requests that
 * targets executed.
 */
import type { Arrival } from '@medlarlever/platform/stand-ins';

import { removeVersions } from '../run/event-versions.js';
import type { Attempt, RunRecord } from '../run/run-record.js';
import { maxAttempts } from '../run/configuration.js';

import { groupBy, isInstanceAnswer, refusalStatuses } from './check.js';
import type { Check, Violation } from './check.js';

const okStatus = 200;

const groupExecutionsByAttempt = (record: RunRecord): Map<string, Arrival[]> =>
  groupBy(
    record.arrivals.filter(({ ran }) => ran),
    ({ attempt }) => attempt,
  );

/**
 * Returns the body that a complete response to the attempt must have, given the
 * executions of the attempt.
 */
const createExpectedText = (
  attempt: Attempt,
  executions: readonly Arrival[],
): string => {
  if (attempt.kind !== 'stream') {
    const execution = executions.find(({ seal }) => seal === attempt.end?.seal);
    return execution?.answer ?? '';
  }
  const eventCount = Number(attempt.path.split('/').at(-1));
  const lastEventId = attempt.resumption?.lastEventId ?? 0;
  return Array.from({ length: eventCount - lastEventId }, (_, i) => {
    const eventId = lastEventId + i + 1;
    return `id: ${eventId}\ndata: ${attempt.id} ${eventId}\n\n`;
  }).join('');
};

/**
 * Checks that each successful response is the complete answer of one execution
 * of its request.
 */
export const checkCompleteAnswers: Check = record => {
  const executions = groupExecutionsByAttempt(record);
  return record.attempts.flatMap(attempt => {
    const { end, id } = attempt;
    if (end?.status !== okStatus || !end.whole) return [];
    const ownExecutions = executions.get(id) ?? [];
    const hasMatchingSeal = ownExecutions.some(({ seal }) => seal === end.seal);
    if (
      hasMatchingSeal &&
      removeVersions(end.body) === createExpectedText(attempt, ownExecutions)
    )
      return [];
    const seen = `${id} at ${attempt.instance}: ${JSON.stringify(end)}`;
    return [
      {
        promise: 'a successful response is complete and belongs to its request',
        seen,
      },
    ];
  });
};

/**
 * Checks that the events of a stream arrive once and in order, even when the
 * stream is cut off.
 */
export const checkEventOrder: Check = record =>
  record.attempts.flatMap(attempt => {
    const { end, id, kind } = attempt;
    if (kind !== 'stream' || end?.status !== okStatus) return [];
    const eventIds = [...end.body.matchAll(/^id: (\d+)$/gm)].map(match =>
      Number(match[1]),
    );
    const lastEventId = attempt.resumption?.lastEventId ?? 0;
    if (eventIds.every((eventId, i) => eventId === lastEventId + i + 1))
      return [];
    const seen = `${id} at ${attempt.instance}: events ${eventIds.join(' ')}`;
    return [{ promise: 'stream events arrive once and in order', seen }];
  });

/**
 * Checks that every request that reaches a target has the method, path and body
 * that a caller sent.
 */
export const checkUnchangedRequests: Check = record => {
  const attempts = new Map(
    record.attempts.map(attempt => [attempt.id, attempt]),
  );
  return record.arrivals.flatMap(arrival => {
    const attempt = attempts.get(arrival.attempt);
    const isUnchanged =
      attempt?.method === arrival.method &&
      attempt.path === arrival.path &&
      attempt.body === arrival.body;
    if (isUnchanged) return [];
    const seen = JSON.stringify(arrival);
    return [{ promise: 'targets receive requests unchanged', seen }];
  });
};

/**
 * Checks that a non-idempotent request is executed at most once, and any other
 * at most `maxAttempts` times.
 */
export const checkExecutionCounts: Check = record => {
  const executions = groupExecutionsByAttempt(record);
  return record.attempts.flatMap(({ id, kind }): Violation[] => {
    const count = (executions.get(id) ?? []).length;
    const maxCount = kind === 'non_idempotent' ? 1 : maxAttempts;
    if (count <= maxCount) return [];
    const seen = `${kind} request ${id} was executed ${count} times`;
    return [
      { promise: 'a request is executed no more often than allowed', seen },
    ];
  });
};

/**
 * Checks that a non-idempotent request was never executed if an instance
 * answered it with a status that means "not executed".
 */
export const checkRefusedRequests: Check = record => {
  const executions = groupExecutionsByAttempt(record);
  return record.attempts.flatMap((attempt): Violation[] => {
    const { id, kind, end } = attempt;
    if (kind !== 'non_idempotent' || !isInstanceAnswer(attempt)) return [];
    if (!refusalStatuses.has(end?.status ?? 0) || !executions.has(id))
      return [];
    const seen = `${id} got status ${end?.status ?? 0} from ${attempt.instance}`;
    return [{ promise: 'a refused request was not executed', seen }];
  });
};

const unauthenticatedStatus = 401;

/** True if the key of the request was withdrawn before its end. */
const hasWithdrawnKey = ({ usedKey, endedAtMs = Infinity }: Attempt): boolean =>
  usedKey !== undefined && usedKey.toMs <= endedAtMs;

/**
 * Checks that valid requests get no 3xx or 4xx status that reports an invalid
 * request.
 */
export const checkValidRequestsAccepted: Check = ({ attempts }) =>
  attempts.flatMap((attempt): Violation[] => {
    const { id, end, path } = attempt;
    const status = end?.status ?? 0;
    const isRejected =
      status >= 300 && status < 500 && !refusalStatuses.has(status);
    if (!isRejected || !isInstanceAnswer(attempt)) return [];
    if (status === unauthenticatedStatus && hasWithdrawnKey(attempt)) return [];
    const seen = `${id} ${path} got status ${status} from ${attempt.instance}`;
    return [{ promise: 'no valid request is rejected as invalid', seen }];
  });
