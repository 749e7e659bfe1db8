/** What a repeat is told about the claim that stands. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { bodyHashOf } from './idempotency-record.js';
import type { Claim } from './idempotency-record.js';
import type { OperationAnswer } from './service-dispatcher.js';

const retryAfterMs = 1_000;

/** The claim could not be stored; this attempt was certainly not run. */
export const claimUnavailable = (): Failure =>
  new Failure(
    'claim_unavailable',
    'the platform took no claim, so this attempt was not run',
    { retryAfterMs },
  );

export const stillRunning = (): Failure =>
  new Failure('still_running', 'an earlier run with this key continues', {
    executed: 'unknown',
    retryAfterMs,
  });

const conflict = (): Failure =>
  new Failure('key_conflict', 'the key was used with another body');

const unknown = (): Failure =>
  new Failure('outcome_unknown', 'an earlier run may have taken effect', {
    executed: 'unknown',
  });

const forgotten = (): Failure =>
  new Failure('key_expired', 'the operation ran; its answer is not kept', {
    executed: 'unknown',
  });

/**
 * The outcome of a repeat, or `undefined` while it has to wait. `lost` says
 * that the claimant is confirmed gone.
 */
export const repeatOutcome = (
  claim: Claim,
  { body }: { readonly body: string },
  lost: boolean,
): Either<Failure, OperationAnswer> | undefined => {
  if (claim.bodyHash !== bodyHashOf(body)) return Left(conflict());
  if (claim.state === 'unknown') return Left(unknown());
  if (claim.state === 'running') return lost ? Left(unknown()) : undefined;
  if (claim.state === 'released') return undefined;
  if (claim.answer === undefined) return Left(forgotten());
  if (Date.now() > claim.expiresAtMs) return Left(forgotten());
  return Right({ ...claim.answer, repeated: true });
};
