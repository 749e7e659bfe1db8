/** Checks what the operators' interface answered. */
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

export const parseResponse = <S extends z.ZodType>(
  schema: S,
  answer: Either<Failure, unknown>,
): Either<Failure, z.output<S>> =>
  answer.chain(value => {
    const parsed = schema.safeParse(value);
    if (parsed.success) return Right(parsed.data);
    const reason = z.prettifyError(parsed.error);
    return Left(new Failure('internal', `unexpected answer: ${reason}`));
  });
