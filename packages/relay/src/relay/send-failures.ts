/** What a failed send says of the request. */
import { Failure } from '@medlarlever/core';

import type { SendOutcome } from './target-client.js';

export type FailedSendOutcome = Exclude<SendOutcome, { kind: 'whole' }>;

/** True when no byte of the request reached the target. */
export const isConnectFailure = (outcome: {
  kind: string;
  phase?: string;
}): boolean => outcome.kind === 'broken' && outcome.phase === 'connecting';

/** True when the target has certainly not executed the request. */
export const isNotExecuted = (outcome: FailedSendOutcome): boolean =>
  outcome.kind === 'not_executed' || isConnectFailure(outcome);

/** Returns the reason for logs and failures. */
export const getFailureReason = (outcome: FailedSendOutcome): string => {
  if (outcome.kind === 'broken') return outcome.reason;
  if (outcome.kind === 'aborted') return 'no answer within the time limit';
  return `response status ${outcome.status}`;
};

/** Creates the failure of a request that a target may have run. */
export const createTargetFailure = (reason: string): Failure =>
  new Failure('target_failed', `the target failed: ${reason}`, {
    executed: 'unknown',
  });
