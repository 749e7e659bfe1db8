import test from 'ava';

import { errorBodySchema, Failure } from './failure.js';

test('a failure whose request may have run does not say that it has not', t => {
  const create = (executed: 'no' | 'unknown') =>
    new Failure('no_target', 'no target', { executed });
  t.is(create('no').status, 503);
  t.is(create('unknown').status, 502);
  const deadline = new Failure('deadline_exceeded', 'late', {
    executed: 'unknown',
  });
  t.is(deadline.status, 504);
});

// A refusal of an instance that served for another one ended as a broken answer.
test('a failure with a fraction of a millisecond to wait can be read again', t => {
  const failure = new Failure('overloaded', 'late', { retryAfterMs: 12.25 });
  const parsed = errorBodySchema.safeParse(
    JSON.parse(JSON.stringify(failure.toBody())),
  );
  t.is(parsed.data?.error.retry_after_ms, 13);
});
