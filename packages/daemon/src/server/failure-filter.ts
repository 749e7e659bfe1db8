/** Turns every error of an interface into a numbered error body. */
import { Failure, toFailure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';
import { Catch, HttpException } from '@nestjs/common';
import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Either } from 'purify-ts';

const failuresByFastifyCode: Readonly<
  Record<string, [Failure['code'], string]>
> = {
  FST_ERR_CTP_BODY_TOO_LARGE: ['body_too_large', 'the body is too large'],
  FST_ERR_CTP_INVALID_MEDIA_TYPE: [
    'unsupported_media',
    'the content type must be application/json',
  ],
  FST_ERR_MAX_PARAM_LENGTH: ['not_found', 'a part of the path is too long'],
  FST_ERR_BAD_URL: ['malformed_body', 'the URL is not valid'],
  FST_ERR_CTP_EMPTY_JSON_BODY: ['malformed_body', 'the body is empty'],
  FST_ERR_CTP_INVALID_CONTENT_LENGTH: [
    'malformed_body',
    'the body differs from its content length',
  ],
};

/** Maps framework errors; anything else becomes `internal`. */
export const classifyError = (error: unknown): Failure => {
  if (error instanceof Failure) return error;
  const code = (error as { code?: unknown }).code;
  const known =
    typeof code === 'string' ? failuresByFastifyCode[code] : undefined;
  if (known !== undefined) return new Failure(known[0], known[1]);
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

/** What is needed of a reply, whichever copy of Fastify it comes from. */
export interface ErrorReply {
  status(status: number): unknown;
  header(name: string, value: string | number): unknown;
  send(body: string): unknown;
}

/** Sends the body and, where known, when to come back. */
export const sendFailure = (reply: ErrorReply, failure: Failure): void => {
  if (failure.retryAfterMs !== undefined) {
    reply.header('retry-after', Math.ceil(failure.retryAfterMs / 1_000));
  }
  reply.status(failure.status);
  reply.header('content-type', 'application/json; charset=utf-8');
  reply.send(JSON.stringify(failure.toBody()));
};

/** The value, or the failure thrown for the filter to send. */
export const getOrThrow = <T>(outcome: Either<Failure, T>): T =>
  outcome.caseOf({
    Left: failure => {
      throw failure;
    },
    Right: value => value,
  });

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
