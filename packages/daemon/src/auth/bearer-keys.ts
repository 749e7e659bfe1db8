/**
 * Parsing, hashing and comparing of bearer keys. Keys are stored only as hashes,
 * and hashes are compared in constant time, so that response times reveal
 * nothing about a key.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/;

/** Returns the SHA-256 hash of a key in lower-case hexadecimal. */
export const hashKey = (key: string): string =>
  createHash('sha256').update(key).digest('hex');

/**
 * Extracts the key from the value of an Authorization header. Fails with
 * `unauthenticated` if the header is missing or malformed.
 */
export const parseBearerKey = (
  header: string | undefined,
): Either<Failure, string> => {
  const key = bearerPattern.exec(header ?? '')?.[1];
  if (key === undefined) {
    return Left(
      new Failure(
        'unauthenticated',
        'the header "Authorization: Bearer KEY" is missing or malformed',
      ),
    );
  }
  return Right(key);
};

/** Compares two hashes of the same length in constant time. */
export const isSameHash = (a: string, b: string): boolean => {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
};

/** Compares two secrets of any length in constant time, by their hashes. */
export const isSameSecret = (a: string, b: string): boolean =>
  isSameHash(hashKey(a), hashKey(b));
