/** Responses to retries of an operation whose key is already claimed. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { hashBody } from './idempotency-record.js';
import type { IdempotencyRecord } from './idempotency-record.js';
import type { OperationResponse } from './service-dispatcher.js';

const retryAfterMs = 1_000;

/** Failure when the claim was not stored; this attempt was not run. */
export const createClaimUnavailableFailure = (
  claimRetryAfterMs = retryAfterMs,
): Failure =>
  new Failure(
    'claim_unavailable',
    'the claim could not be stored, so this attempt was not run',
    { retryAfterMs: claimRetryAfterMs },
  );

/** Failure when the earlier run is still in progress at the deadline. */
export const createStillRunningFailure = (): Failure =>
  new Failure(
    'still_running',
    'an earlier run with this Idempotency-Key is still in progress',
    {
      executed: 'unknown',
      retryAfterMs,
    },
  );

const createKeyConflictFailure = (): Failure =>
  new Failure('key_conflict', 'the Idempotency-Key was used with another body');

const createOutcomeUnknownFailure = (): Failure =>
  new Failure('outcome_unknown', 'an earlier run may have taken effect', {
    executed: 'unknown',
  });

/** Failure when the operation ran but its answer was deleted or too large. */
const createKeyExpiredFailure = (): Failure =>
  new Failure(
    'key_expired',
    'the operation ran, but its answer is no longer stored',
    {
      executed: 'unknown',
    },
  );

/**
 * Returns the outcome of a retry, or `undefined` while the claim is running or
 * when it was released. `isOwnerGone` is true when the platform reports
 * that the process that made the claim has ended.
 */
export const getReplayOutcome = (
  claim: IdempotencyRecord,
  { body }: { readonly body: string },
  isOwnerGone: boolean,
): Either<Failure, OperationResponse> | undefined => {
  if (claim.bodyHash !== hashBody(body))
    return Left(createKeyConflictFailure());
  if (claim.state === 'unknown') return Left(createOutcomeUnknownFailure());
  if (claim.state === 'running')
    return isOwnerGone ? Left(createOutcomeUnknownFailure()) : undefined;
  if (claim.state === 'released') return undefined;
  if (claim.answer === undefined) return Left(createKeyExpiredFailure());
  if (Date.now() > claim.expiresAtMs) return Left(createKeyExpiredFailure());
  return Right({ ...claim.answer, isReplayed: true });
};
