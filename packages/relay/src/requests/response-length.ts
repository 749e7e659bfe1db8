/** The length of a response's body, as its head names it. */
import type { ResponseHead } from './relay-request.js';

/** True if the headers name the length of the body. */
export const namesLength = ({ headers }: ResponseHead): boolean =>
  headers.some(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length',
  );

/**
 * Returns the head with the length of a body that is known as a whole. An empty body may be
 * that of a response which has none, such as the one to HEAD; its head stays as it is.
 */
export const withLength = (head: ResponseHead, bytes: number): ResponseHead =>
  bytes === 0 || namesLength(head)
    ? head
    : {
        ...head,
        headers: [...head.headers, 'Content-Length', String(bytes)],
        isCloseDelimited: false,
      };
