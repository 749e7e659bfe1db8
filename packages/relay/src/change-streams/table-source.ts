/** A table of the platform together with the meaning of its rows. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { ChangeStream } from './change-stream.js';

export interface TableSource<T> {
  readonly changeStream: ChangeStream;
  /** Nothing when the row is of no concern; a failure when it is unreadable. */
  readonly decodeRow: (
    key: string,
    value: Buffer,
  ) => Either<Failure, T> | undefined;
}
