import test from 'ava';

import { Failure } from './failure.js';

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
