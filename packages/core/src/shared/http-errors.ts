/** What an error of the HTTP client says about the request. */
import { errors } from 'undici';

/** Codes of errors that come before the first byte of a request leaves. */
const beforeSending: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const codeOf = (error: unknown): string | undefined => {
  if (!(error instanceof Error) || !('code' in error)) return undefined;
  return typeof error.code === 'string' ? error.code : undefined;
};

/** True only when certainly no byte of the request left this process. */
export const neverSent = (error: unknown): boolean =>
  beforeSending.has(codeOf(error) ?? '');

/** True when the other end sent nothing for too long. */
export const timedOut = (error: unknown): boolean =>
  error instanceof errors.HeadersTimeoutError ||
  error instanceof errors.BodyTimeoutError ||
  (error instanceof Error && error.name === 'TimeoutError');

/** Text of an error for a message; sockets often give an empty one. */
export const errorText = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error);
  return error.message === '' ? (codeOf(error) ?? error.name) : error.message;
};
