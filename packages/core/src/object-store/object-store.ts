/** The platform's object store: immutable blobs by name. */
import type { Either, Maybe } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

export abstract class ObjectStore {
  /** `Nothing` when no such object exists. */
  abstract getObject(name: string): Promise<Either<Failure, Maybe<Uint8Array>>>;

  /** Creates or replaces the object. */
  abstract putObject(
    name: string,
    body: Uint8Array,
  ): Promise<Either<Failure, void>>;
}
