/** Combines the change stream of a platform table with the decoding of its rows. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { ChangeStream } from './change-stream.js';

/** A platform table whose rows decode to `T`. */
export interface TableSource<T> {
  readonly changeStream: ChangeStream;
  /**
   * Decodes a row. Returns `undefined` for a row that is not relevant, and a
   * failure for a row that cannot be decoded.
   */
  readonly decodeRow: (
    key: string,
    value: Buffer,
  ) => Either<Failure, T> | undefined;
}
