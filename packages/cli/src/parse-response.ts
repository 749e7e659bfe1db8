/** Validation of operators' API responses. */
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

/**
 * Validates a response against a schema. A response that does not match becomes
 * an `internal` failure.
 */
export const parseResponse = <Schema extends z.ZodType>(
  schema: Schema,
  response: Either<Failure, unknown>,
): Either<Failure, z.output<Schema>> =>
  response.chain(value => {
    const parsed = schema.safeParse(value);
    if (parsed.success) return Right(parsed.data);
    const reason = z.prettifyError(parsed.error);
    return Left(
      new Failure(
        'internal',
        `unexpected response of the operators' API: ${reason}`,
      ),
    );
  });
