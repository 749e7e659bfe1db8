/** Classification of the HTTP client's errors. */
import { errors } from 'undici';

/** Codes of errors that occur before any byte of a request is sent. */
const unsentErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const getErrorCode = (error: unknown): string | undefined => {
  if (!(error instanceof Error) || !('code' in error)) return undefined;
  return typeof error.code === 'string' ? error.code : undefined;
};

/** True only if it is certain that no byte of the request was sent. */
export const isUnsentError = (error: unknown): boolean =>
  unsentErrorCodes.has(getErrorCode(error) ?? '');

/** True if the server sent no header or body data in time. */
export const isTimeoutError = (error: unknown): boolean =>
  error instanceof errors.HeadersTimeoutError ||
  error instanceof errors.BodyTimeoutError ||
  (error instanceof Error && error.name === 'TimeoutError');

/**
 * Message of an error; its code or name if the message is empty, as often for
 * sockets.
 */
export const describeError = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error);
  return error.message === ''
    ? (getErrorCode(error) ?? error.name)
    : error.message;
};
