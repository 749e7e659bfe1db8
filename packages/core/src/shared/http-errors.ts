/** What an error of the HTTP client says about the request. */
import { errors } from 'undici';

/** Codes of errors that come before the first byte of a request leaves. */
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

/** True only when certainly no byte of the request left this process. */
export const isUnsentError = (error: unknown): boolean =>
  unsentErrorCodes.has(getErrorCode(error) ?? '');

/** True when the other end sent nothing for too long. */
export const isTimeoutError = (error: unknown): boolean =>
  error instanceof errors.HeadersTimeoutError ||
  error instanceof errors.BodyTimeoutError ||
  (error instanceof Error && error.name === 'TimeoutError');

/** Text of an error for a message; sockets often give an empty one. */
export const describeError = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error);
  return error.message === ''
    ? (getErrorCode(error) ?? error.name)
    : error.message;
};
