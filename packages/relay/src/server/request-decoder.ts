/** Turns an HTTP request into a relay request; the headers are the platform's. */
import type { IncomingMessage } from 'node:http';

import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { RelayRequest } from '../requests/relay-request.js';

export abstract class RequestDecoder {
  /** `arrivedMs` is the monotonic time at which the request began to arrive. */
  abstract decode(
    message: IncomingMessage,
    url: string,
    body: Buffer,
    arrivedMs: number,
  ): Either<Failure, RelayRequest>;
}
