/** Another entry instance, reached by remote procedure call. */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

export interface PeerCallOptions {
  readonly timeoutMs: number;
}

/** One peer connection. A failed call says nothing about the peer's state. */
export abstract class Peer {
  abstract readonly name: string;
  abstract readonly dataCenter: string;
  abstract readonly incarnation: string;

  /** Calls a method and waits for its result. */
  abstract callMethod(
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<Either<Failure, unknown>>;

  /** Sends without waiting; the message may be lost. */
  abstract sendNotification(method: string, params: unknown): void;
}
