/** Sends a failure as the whole answer to a request. */
import type { ServerResponse } from 'node:http';

import type { Failure } from '@medlarlever/core';

const msPerSecond = 1_000;

/** Further headers and the end of the connection. */
export interface FailureResponseOptions {
  /** Alternating names and values. */
  readonly headers?: readonly string[];
  /** True if the connection must close after the answer. */
  readonly closesConnection: boolean;
}

/**
 * Returns true if the caller must come back on a new connection. A kept one leads to the
 * same instance, which is stopping.
 */
const needsNewConnection = ({ code }: Failure): boolean =>
  code === 'shutting_down';

/** Writes the failure's status, its body and the time to come back. */
export const sendFailureResponse = (
  response: ServerResponse,
  failure: Failure,
  { headers: furtherHeaders = [], closesConnection }: FailureResponseOptions,
): void => {
  const body = JSON.stringify(failure.toBody());
  const headers = [
    ...furtherHeaders,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (failure.retryAfterMs !== undefined) {
    const seconds = failure.retryAfterMs / msPerSecond;
    headers.push('Retry-After', seconds.toFixed(3));
  }
  if (closesConnection || needsNewConnection(failure))
    headers.push('Connection', 'close');
  response.writeHead(failure.status, headers);
  response.end(body);
};
