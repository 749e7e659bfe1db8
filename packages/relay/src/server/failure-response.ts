/** Sends a failure as the whole answer to a request. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Failure } from '@medlarlever/core';

const msPerSecond = 1_000;

/** Milliseconds for which the rest of a refused body is read. */
const maxDiscardMs = 1_000;

/**
 * Reads the rest of a body and discards it. A connection that is closed with unread data is
 * reset, and the caller may lose the answer that it has got.
 */
export const discardBody = (message: IncomingMessage): Promise<void> =>
  new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    const timer = setTimeout(finish, maxDiscardMs);
    message.once('end', finish);
    message.once('close', finish);
    message.resume();
  });

/** Further headers and the end of the connection. */
export interface FailureResponseOptions {
  /** Alternating names and values. */
  readonly headers?: readonly string[];
  /** True if the connection must close after the answer. */
  readonly closesConnection: boolean;
  /** The answer is sent at once, and ends only when this resolves; at once by default. */
  readonly endsAfter?: Promise<void>;
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
  {
    headers: furtherHeaders = [],
    closesConnection,
    endsAfter,
  }: FailureResponseOptions,
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
  if (endsAfter === undefined) {
    response.end(body);
    return;
  }
  response.write(body);
  void endsAfter.then(() => response.end());
};
