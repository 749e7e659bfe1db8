/** Runs a sequence of steps that may fail and stops at the first failure. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { toFailure } from './failure.js';
import type { Failure } from './failure.js';

/** Returns the value of a step's result, or throws its failure. */
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

/**
 * Runs `steps` and returns its value. Returns a failure that `unwrap` or a step
 * throws; any other thrown value becomes the failure `internal`.
 */
export const runCatching = async <T>(
  steps: (unwrap: Unwrap) => Promise<T>,
): Promise<Either<Failure, T>> => {
  try {
    return Right(await steps(unwrap));
  } catch (error) {
    return Left(toFailure(error));
  }
};
