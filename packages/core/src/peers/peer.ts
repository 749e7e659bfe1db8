/** Another entry instance, reached by remote procedure call. */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

export interface CallOptions {
  readonly timeoutMs: number;
}

/** One peer connection. A failed call says nothing about the peer's state. */
export abstract class Peer {
  abstract readonly name: string;
  abstract readonly dataCenter: string;
  abstract readonly incarnation: string;

  /** Calls a method and waits for its result. */
  abstract call(
    method: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Either<Failure, unknown>>;

  /** Sends without waiting; the message may be lost. */
  abstract notify(method: string, params: unknown): void;
}
