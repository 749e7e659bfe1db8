/** Converts every error of an interface into an error response with a code. */
import { Failure, toFailure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';
import { Catch, HttpException } from '@nestjs/common';
import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Either } from 'purify-ts';

const failuresByFastifyCode: Readonly<
  Record<string, [Failure['code'], string]>
> = {
  FST_ERR_CTP_BODY_TOO_LARGE: [
    'body_too_large',
    'the body is larger than the limit requests.max_body_bytes',
  ],
  FST_ERR_CTP_INVALID_MEDIA_TYPE: [
    'unsupported_media',
    'the content type must be application/json',
  ],
  FST_ERR_MAX_PARAM_LENGTH: ['not_found', 'a segment of the path is too long'],
  FST_ERR_BAD_URL: ['malformed_body', 'the URL is malformed'],
  FST_ERR_CTP_EMPTY_JSON_BODY: ['malformed_body', 'the body is empty'],
  FST_ERR_CTP_INVALID_CONTENT_LENGTH: [
    'malformed_body',
    'the length of the body differs from the content-length header',
  ],
};

/**
 * Maps errors of Fastify and Nest to result codes. Any other error becomes
 * `internal`.
 */
export const classifyError = (error: unknown): Failure => {
  if (error instanceof Failure) return error;
  const code = (error as { code?: unknown }).code;
  const mapping =
    typeof code === 'string' ? failuresByFastifyCode[code] : undefined;
  if (mapping !== undefined) return new Failure(mapping[0], mapping[1]);
  if (error instanceof HttpException) return fromHttpException(error);
  return toFailure(error);
};

const fromHttpException = (error: HttpException): Failure => {
  const status = error.getStatus();
  if (status === 404) return new Failure('not_found', error.message);
  if (status === 413) return new Failure('body_too_large', error.message);
  if (status === 415) return new Failure('unsupported_media', error.message);
  if (status < 500) return new Failure('invalid_request', error.message);
  return new Failure('internal', error.message, { executed: 'unknown' });
};

/**
 * The methods of a Fastify reply that `sendFailure` uses. Declared here because
 * Nest's adapter and this package may resolve to different Fastify versions
 * with incompatible types.
 */
export interface ErrorReply {
  status(status: number): unknown;
  header(name: string, value: string | number): unknown;
  send(body: string): unknown;
}

/** Sends the error body, with `retry-after` in seconds where it is known. */
export const sendFailure = (reply: ErrorReply, failure: Failure): void => {
  if (failure.retryAfterMs !== undefined) {
    reply.header('retry-after', Math.ceil(failure.retryAfterMs / 1_000));
  }
  reply.status(failure.status);
  reply.header('content-type', 'application/json; charset=utf-8');
  reply.send(JSON.stringify(failure.toBody()));
};

/** Returns the value, or throws the failure so that `FailureFilter` sends it. */
export const getOrThrow = <T>(outcome: Either<Failure, T>): T =>
  outcome.caseOf({
    Left: failure => {
      throw failure;
    },
    Right: value => value,
  });

/** Sends every error of a controller and logs internal errors as `defect`. */
@Catch()
export class FailureFilter implements ExceptionFilter {
  constructor(readonly log: Log) {}

  catch(error: unknown, host: ArgumentsHost): void {
    const failure = classifyError(error);
    if (failure.code === 'internal') {
      this.log.writeEvent('defect', {
        message: failure.message,
        stack: (failure.cause as Error | undefined)?.stack,
      });
    }
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    sendFailure(reply, failure);
  }
}
