/** Checks a call of a plain service against what the customer may call. */
import { createHash, randomUUID } from 'node:crypto';

import { Deadline, Failure } from '@medlarlever/core';
import type {
  Entitlement,
  OperationRequest,
  TemplateOperation,
} from '@medlarlever/core';
import { Left, Maybe, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { JsonBody } from '../server/body-parser.js';

/** Printable ASCII, as the Idempotency-Key draft has it. */
const idempotencyKeyPattern = /^[\x20-\x7e]{1,255}$/;

/** A call as it arrived. */
export interface OperationCall {
  readonly service: string;
  readonly operation: string;
  readonly key: string | undefined;
  readonly body: JsonBody | undefined;
}

const findOperation = (
  entitlement: Entitlement,
  { service, operation }: OperationCall,
): Either<Failure, TemplateOperation> =>
  Maybe.fromNullable(
    entitlement.operations.find(
      candidate =>
        candidate.service === service && candidate.operation === operation,
    ),
  ).toEither(
    new Failure('unknown_operation', `no operation "${service}/${operation}"`),
  );

const validateCall = ({
  key,
  body,
}: OperationCall): Either<Failure, string> => {
  if (body === undefined) {
    return Left(new Failure('malformed_body', 'a JSON body is required'));
  }
  if (key !== undefined && !idempotencyKeyPattern.test(key)) {
    const rule = 'Idempotency-Key: must be 1 to 255 printable characters';
    return Left(new Failure('invalid_request', rule));
  }
  return Right(body.text);
};

const computeFingerprint = (
  { customer }: Entitlement,
  { service, operation }: OperationCall,
  body: string,
): string =>
  createHash('sha256')
    .update(JSON.stringify([customer, service, operation, body]))
    .digest('hex');

/** The call as the dispatcher takes it. */
export const toOperationRequest = (
  entitlement: Entitlement,
  call: OperationCall,
): Either<Failure, OperationRequest> =>
  findOperation(entitlement, call).chain(operation =>
    validateCall(call).map(body => ({
      id: randomUUID(),
      entitlement,
      operation,
      body,
      idempotencyKey: call.key,
      deadline: Deadline.after(operation.timeout_ms),
      fingerprint: computeFingerprint(entitlement, call, body),
    })),
  );
