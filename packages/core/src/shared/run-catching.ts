/** Runs steps that each may fail, stopping at the first failure. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { toFailure } from './failure.js';
import type { Failure } from './failure.js';

/** Unwraps the result of a step, or ends the run with its failure. */
export type Unwrap = <T>(
  step: Either<Failure, T> | Promise<Either<Failure, T>>,
) => Promise<T>;

const unwrap: Unwrap = async step => {
  const result = await step;
  return result.caseOf({
    Left: failure => {
      throw failure;
    },
    Right: value => value,
  });
};

/** Anything thrown becomes a failure too. */
export const runCatching = async <T>(
  steps: (unwrap: Unwrap) => Promise<T>,
): Promise<Either<Failure, T>> => {
  try {
    return Right(await steps(unwrap));
  } catch (error) {
    return Left(toFailure(error));
  }
};
