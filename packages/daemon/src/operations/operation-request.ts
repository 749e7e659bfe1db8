/** Validates calls of plain services against the customer's entitlement. */
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

/** Printable ASCII, as in the IETF draft of the Idempotency-Key header. */
const idempotencyKeyPattern = /^[\x20-\x7e]{1,255}$/;

/** A call as received; `key` is the value of the Idempotency-Key header. */
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
    new Failure(
      'unknown_operation',
      `operation "${service}/${operation}" is not available to this customer`,
    ),
  );

const validateCall = ({
  key,
  body,
}: OperationCall): Either<Failure, string> => {
  if (body === undefined) {
    return Left(
      new Failure(
        'malformed_body',
        'the request has no body; send a JSON body',
      ),
    );
  }
  if (key !== undefined && !idempotencyKeyPattern.test(key)) {
    const message =
      'Idempotency-Key: must be 1 to 255 printable ASCII characters';
    return Left(new Failure('invalid_request', message));
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

/**
 * Validates a call and converts it into the request that the dispatcher takes.
 * Fails with `unknown_operation`, `malformed_body` or `invalid_request`. The
 * deadline is `timeout_ms` of the operation, counted from now.
 */
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
