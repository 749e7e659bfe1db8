/** Reads the failure with which another instance ended a forwarded request. */
import { Failure, errorBodySchema, resultCodes } from '@medlarlever/core';
import type { ResultName } from '@medlarlever/core';

const isResultName = (name: string): name is ResultName => name in resultCodes;

const createUnreadableFailure = (reason: string): Failure =>
  new Failure(
    'target_failed',
    `the failure of the other instance can't be read: ${reason}`,
    { executed: 'unknown' },
  );

/** Reads the error body; the request of one that can't be read may have run. */
export const decodeForwardedFailure = (text: string): Failure => {
  try {
    const { error } = errorBodySchema.parse(JSON.parse(text));
    if (!isResultName(error.name))
      return createUnreadableFailure(`there is no result ${error.name}`);
    return new Failure(error.name, error.message, {
      executed: error.executed,
      retryAfterMs: error.retry_after_ms,
    });
  } catch (error) {
    return createUnreadableFailure(String(error));
  }
};

/** Creates the failure of an answer that no relay of an instance gave. */
export const createUnknownAnswerFailure = (status: number): Failure =>
  new Failure(
    'not_ready',
    `the instance does not take forwarded requests: it answered with status ${status}`,
  );
