/** Parses HTTP responses of targets. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';

import { OversizedBodyError, readBoundedText } from '../shared/bounded-body.js';
import { errorBodySchema, Failure } from '../shared/failure.js';

/** Response header; the value `no` means that the request was not run. */
export const executedHeader = 'x-executed';

/** Longest body of an error response that is read for its message. */
const maxErrorBytes = 64 * 1024;

/** Longest body of a response to a control request, such as a load report. */
const maxControlBytes = 4 * 1024 * 1024;

/** Returns the text of an error; an empty one if it is too long to be a message. */
const readErrorText = async (
  body: Dispatcher.ResponseData['body'],
): Promise<string> => {
  try {
    return await readBoundedText(body, { maxBytes: maxErrorBytes });
  } catch (error) {
    if (error instanceof OversizedBodyError) return '';
    throw error;
  }
};

/** Converts an error response to a failure. */
export const readFailure = async (
  response: Dispatcher.ResponseData,
): Promise<Failure> => {
  const { statusCode, headers, body } = response;
  const text = await readErrorText(body);
  const parsed = errorBodySchema.safeParse(tryParseJson(text));
  const message =
    parsed.data?.error.message ?? `the target returned status ${statusCode}`;
  if (headers[executedHeader] !== 'no') {
    return new Failure('target_failed', message, {
      executed: 'unknown',
      details: { status: statusCode },
    });
  }
  const name = parsed.data?.error.name;
  if (name === 'stream_not_found' || name === 'order_conflict') {
    return new Failure(name, message);
  }
  if (name === 'not_found') return new Failure(name, message);
  return new Failure('target_rejected', message);
};

/** Parses JSON; returns `undefined` when the text is malformed. */
export const tryParseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Parses a JSON response; fails when it does not match the schema. */
export const parseResponse = async <S extends z.ZodType>(
  response: Dispatcher.ResponseData,
  schema: S,
): Promise<Either<Failure, z.output<S>>> => {
  if (response.statusCode !== 200) return Left(await readFailure(response));
  const text = await readBoundedText(response.body, {
    maxBytes: maxControlBytes,
  });
  const parsed = schema.safeParse(tryParseJson(text));
  if (parsed.success) return Right(parsed.data);
  return Left(
    new Failure('target_failed', 'the target returned a malformed response', {
      executed: 'unknown',
    }),
  );
};
