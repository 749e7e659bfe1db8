/** What clients that don't behave send. */
import { randomUUID } from 'node:crypto';

import type { ClientInput } from './client-crowd.js';

/** More than a process may keep of one connection. */
const aheadBytes = 3_000_000;

/** A request of which many are sent ahead. */
export interface RequestText {
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly host?: string;
  /** Lines that end with CR LF. */
  readonly headers?: string;
  readonly body?: string;
}

/** Writes out a request, with a `Host` if one is given. */
export const createRequest = ({
  method = 'GET',
  path = '/',
  host,
  headers = '',
  body,
}: RequestText): string =>
  `${method} ${path} HTTP/1.1\r\n` +
  (host === undefined ? '' : `Host: ${host}\r\n`) +
  headers +
  (body === undefined ? '' : `Content-Length: ${body.length}\r\n`) +
  `\r\n${body ?? ''}`;

/** Many requests sent ahead, whose answers are not read. */
export const sendAhead = (
  request: RequestText,
  maxBytes = aheadBytes,
): ClientInput => ({ head: '', repeated: createRequest(request), maxBytes });

/** A line of notifications, as instances send them, that has no end. */
export const sendUnfinishedLine = (path: string, protocol: string) => ({
  head:
    `GET ${path} HTTP/1.1\r\nHost: localhost\r\nConnection: Upgrade\r\n` +
    `Upgrade: ${protocol}\r\nX-Instance: i-1\r\n\r\n`,
  repeated: 'x',
  maxBytes: 4_000_000,
});

/** Body that stops short of its end. */
export interface UnfinishedBody {
  readonly path: string;
  readonly host: string;
  readonly headers?: string;
  /** Longest body that the process takes. */
  readonly bodyBytes: number;
  /** Content of each chunk; undefined for a body with a length. */
  readonly chunkBytes?: number;
}

const createChunk = (bytes: number): string =>
  `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

/** A body, the last chunk of which is not sent, or the last byte of its length. */
export const sendUnfinishedBody = ({
  path,
  host,
  headers = '',
  bodyBytes,
  chunkBytes,
}: UnfinishedBody): ClientInput => {
  const framing =
    chunkBytes === undefined
      ? `Content-Length: ${bodyBytes}\r\n`
      : 'Transfer-Encoding: chunked\r\n';
  const head = createRequest({
    method: 'POST',
    path,
    host,
    headers: `${headers}${framing}`,
  });
  if (chunkBytes === undefined)
    return { head, repeated: 'x', maxBytes: bodyBytes - 1 };
  const repeated = createChunk(chunkBytes);
  const count = Math.floor((bodyBytes - 1) / chunkBytes);
  return { head, repeated, maxBytes: count * repeated.length };
};

/** A head that is never finished; the connection stays open. */
export const sendUnfinishedHead = (host: string): ClientInput => ({
  head: `GET / HTTP/1.1\r\nHost: ${host}\r\n`,
  repeated: `X-Junk: ${randomUUID()}\r\n`,
  maxBytes: 8_000,
});
