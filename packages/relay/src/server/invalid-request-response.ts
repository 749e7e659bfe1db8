/** Answer to bytes of a caller that are no valid HTTP request. */
import type { Socket } from 'node:net';

import { Failure } from '@medlarlever/core';

/**
 * Header size at which the connection is closed. It exceeds every configurable
 * limit on header bytes.
 */
export const maxHeaderBytes = 64 * 1024;

const statusReasonPhrases: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

const createFailure = (code: string | undefined): Failure => {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return new Failure(
      'request_timeout',
      'the request headers did not arrive in time',
    );
  if (code === 'HPE_HEADER_OVERFLOW')
    return new Failure(
      'headers_too_large',
      `the request headers are longer than the limit of ${maxHeaderBytes} bytes`,
    );
  return new Failure('malformed_body', 'the request is not valid HTTP');
};

/** Writes the answer to the connection and ends its writing side. */
export const writeInvalidRequestResponse = (
  { code }: { readonly code?: string },
  socket: Socket,
): void => {
  const failure = createFailure(code);
  const body = JSON.stringify(failure.toBody());
  socket.end(
    `HTTP/1.1 ${failure.status} ${statusReasonPhrases[failure.status] ?? 'Refused'}\r\n` +
      'content-type: application/json\r\nconnection: close\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
};
