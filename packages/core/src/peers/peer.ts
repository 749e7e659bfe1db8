/** Interface for remote procedure calls to another entry instance. */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

export interface PeerCallOptions {
  readonly timeoutMs: number;
}

/**
 * Connection to a peer. A failed call doesn't show whether the peer is running
 * or whether it ran the method.
 */
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

  /** Sends a notification without waiting; it may be lost. */
  abstract sendNotification(method: string, params: unknown): void;
}
