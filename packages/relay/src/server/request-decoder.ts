/** Interface for decoding HTTP requests; the platform defines the headers. */
import type { IncomingMessage } from 'node:http';

import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { RelayRequest } from '../requests/relay-request.js';

/** Decodes an HTTP request to a relay request. */
export abstract class RequestDecoder {
  /**
   * Decodes a request. `arrivedAtMs` is the time at which the request began to
   * arrive, in milliseconds on the monotonic clock.
   */
  abstract decode(
    message: IncomingMessage,
    url: string,
    body: Buffer,
    arrivedAtMs: number,
  ): Either<Failure, RelayRequest>;

  /** Returns the id of a request that is not decoded; empty if it has none. */
  getId(message: IncomingMessage): string {
    return String(message.headers['x-request-id'] ?? '');
  }
}
