/** Reads answers of targets and what they say about execution. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';

import { errorBodySchema, Failure } from '../shared/failure.js';

/** Header by which a target says that it did not run a request. */
export const executedHeader = 'x-executed';

/** The failure that a refusing answer stands for. */
export const readFailure = async (
  answer: Dispatcher.ResponseData,
): Promise<Failure> => {
  const { statusCode, headers, body } = answer;
  const text = await body.text();
  const parsed = errorBodySchema.safeParse(tryParseJson(text));
  const message = parsed.data?.error.message ?? `status ${statusCode}`;
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

/** The JSON of a text, or `undefined` when it is none. */
export const tryParseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Reads a JSON answer of the given form. */
export const parseResponse = async <S extends z.ZodType>(
  answer: Dispatcher.ResponseData,
  schema: S,
): Promise<Either<Failure, z.output<S>>> => {
  if (answer.statusCode !== 200) return Left(await readFailure(answer));
  const parsed = schema.safeParse(tryParseJson(await answer.body.text()));
  if (parsed.success) return Right(parsed.data);
  return Left(
    new Failure('target_failed', 'the target gave a malformed answer', {
      executed: 'unknown',
    }),
  );
};
