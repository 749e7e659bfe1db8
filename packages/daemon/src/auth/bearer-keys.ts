/** Bearer keys, held only as hashes and compared in constant time. */
import { createHash, timingSafeEqual } from 'node:crypto';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/;

/** SHA-256 of a key in lower-case hexadecimal. */
export const hashKey = (key: string): string =>
  createHash('sha256').update(key).digest('hex');

/** Takes the key from an Authorization header. */
export const parseBearerKey = (
  header: string | undefined,
): Either<Failure, string> => {
  const key = bearerPattern.exec(header ?? '')?.[1];
  if (key === undefined) {
    return Left(new Failure('unauthenticated', 'a bearer key is required'));
  }
  return Right(key);
};

/** Compares two hashes without telling where they differ. */
export const isSameHash = (a: string, b: string): boolean => {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
};

/** Compares a secret with the given key in constant time. */
export const isSameSecret = (a: string, b: string): boolean =>
  isSameHash(hashKey(a), hashKey(b));
