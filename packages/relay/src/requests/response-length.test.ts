import test from 'ava';

import { withLength } from './response-length.js';

const head = { status: 200, headers: ['x-a', '1'], isCloseDelimited: true };

test('a body that is known as a whole gets its length', t => {
  t.deepEqual(withLength(head, 3), {
    status: 200,
    headers: ['x-a', '1', 'Content-Length', '3'],
    isCloseDelimited: false,
  });
});

// Guards against a second length, and against one of a response that has no body.
test('a length that is named stays, and an empty body gets none', t => {
  const named = { ...head, headers: ['Content-Length', '3'] };
  t.is(withLength(named, 3), named);
  t.is(withLength(head, 0), head);
});
