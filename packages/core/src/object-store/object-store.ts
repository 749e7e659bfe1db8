/** Interface of the platform's object store: immutable blobs by name. */
import type { Either, Maybe } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/**
 * Stores blobs by name. Failures: `platform_unavailable` when the call had no
 * effect, `platform_unknown` when a write may have taken effect.
 */
export abstract class ObjectStore {
  /** Reads an object; `Nothing` if no object has the name. */
  abstract getObject(name: string): Promise<Either<Failure, Maybe<Uint8Array>>>;

  /** Creates the object or replaces its content. */
  abstract putObject(
    name: string,
    body: Uint8Array,
  ): Promise<Either<Failure, void>>;
}
