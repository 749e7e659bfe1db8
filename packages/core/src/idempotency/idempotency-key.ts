/** Checks the format and age of idempotency keys. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import { Failure } from '../shared/failure.js';

const uuidVersion7Pattern =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

const maxKeyLength = 256;
/** A key whose time is further in the future is rejected. */
export const maxKeyClockSkewMs = 5 * 60_000;

/**
 * Time in a UUID of version 7, in milliseconds since the Unix epoch; `Nothing`
 * for any other key.
 */
export const parseKeyTimeMs = (key: string): Maybe<number> => {
  const match = uuidVersion7Pattern.exec(key);
  if (match === null) return Nothing;
  return Just(Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16));
};

/** Returns why the key cannot be used, or `undefined` if it can. */
export const validateKey = (
  key: string,
  retentionMs: number,
): Failure | undefined => {
  if (key === '') {
    return new Failure('key_required', 'the Idempotency-Key header is missing');
  }
  if (key.length > maxKeyLength) {
    return new Failure(
      'invalid_request',
      'the Idempotency-Key exceeds 256 characters',
    );
  }
  const createdAtMs = parseKeyTimeMs(key).extractNullable();
  if (createdAtMs === null) return undefined;
  if (createdAtMs > Date.now() + maxKeyClockSkewMs) {
    return new Failure(
      'invalid_request',
      'the time in the Idempotency-Key is in the future',
    );
  }
  if (createdAtMs >= Date.now() - retentionMs) return undefined;
  return new Failure(
    'key_expired',
    'the Idempotency-Key is older than the retention time',
    {
      executed: 'unknown',
    },
  );
};
