/** What a repeat is told about the claim that stands. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { hashBody } from './idempotency-record.js';
import type { IdempotencyRecord } from './idempotency-record.js';
import type { OperationResponse } from './service-dispatcher.js';

const retryAfterMs = 1_000;

/** The claim could not be stored; this attempt was certainly not run. */
export const createClaimUnavailableFailure = (): Failure =>
  new Failure(
    'claim_unavailable',
    'the platform took no claim, so this attempt was not run',
    { retryAfterMs },
  );

export const createStillRunningFailure = (): Failure =>
  new Failure('still_running', 'an earlier run with this key continues', {
    executed: 'unknown',
    retryAfterMs,
  });

const createKeyConflictFailure = (): Failure =>
  new Failure('key_conflict', 'the key was used with another body');

const createOutcomeUnknownFailure = (): Failure =>
  new Failure('outcome_unknown', 'an earlier run may have taken effect', {
    executed: 'unknown',
  });

const createKeyExpiredFailure = (): Failure =>
  new Failure('key_expired', 'the operation ran; its answer is not kept', {
    executed: 'unknown',
  });

/**
 * The outcome of a repeat, or `undefined` while it has to wait. `lost` says
 * that the claimant is confirmed gone.
 */
export const getReplayOutcome = (
  claim: IdempotencyRecord,
  { body }: { readonly body: string },
  lost: boolean,
): Either<Failure, OperationResponse> | undefined => {
  if (claim.bodyHash !== hashBody(body))
    return Left(createKeyConflictFailure());
  if (claim.state === 'unknown') return Left(createOutcomeUnknownFailure());
  if (claim.state === 'running')
    return lost ? Left(createOutcomeUnknownFailure()) : undefined;
  if (claim.state === 'released') return undefined;
  if (claim.answer === undefined) return Left(createKeyExpiredFailure());
  if (Date.now() > claim.expiresAtMs) return Left(createKeyExpiredFailure());
  return Right({ ...claim.answer, isReplayed: true });
};
