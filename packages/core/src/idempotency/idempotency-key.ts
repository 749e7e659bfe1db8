/** The form and age of idempotency keys. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import { Failure } from '../shared/failure.js';

const uuidVersion7Pattern =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

const maxKeyLength = 256;
/** A key from further in the future is refused. */
export const maxKeyClockSkewMs = 5 * 60_000;

/** Milliseconds of a UUID of version 7; `Nothing` for any other key. */
export const parseKeyTimeMs = (key: string): Maybe<number> => {
  const match = uuidVersion7Pattern.exec(key);
  if (match === null) return Nothing;
  return Just(Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16));
};

/** Why a key cannot be used, if it cannot. */
export const validateKey = (
  key: string,
  retentionMs: number,
): Failure | undefined => {
  if (key === '') {
    return new Failure('key_required', 'Idempotency-Key is missing');
  }
  if (key.length > maxKeyLength) {
    return new Failure('invalid_request', 'Idempotency-Key is too long');
  }
  const madeAtMs = parseKeyTimeMs(key).extractNullable();
  if (madeAtMs === null) return undefined;
  if (madeAtMs > Date.now() + maxKeyClockSkewMs) {
    return new Failure('invalid_request', 'the key is from the future');
  }
  if (madeAtMs >= Date.now() - retentionMs) return undefined;
  return new Failure('key_expired', 'the key is older than its retention', {
    executed: 'unknown',
  });
};
