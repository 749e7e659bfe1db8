import test from 'ava';

import { LinkedAbort } from './linked-abort.js';

test('a linked signal follows its parent, and not the other way round', t => {
  const parent = new AbortController();
  const one = new LinkedAbort(parent.signal);
  const two = new LinkedAbort(parent.signal);
  two.abort();
  t.false(parent.signal.aborted);
  t.false(one.signal.aborted);
  parent.abort();
  t.true(one.signal.aborted);
  t.true(new LinkedAbort(parent.signal).signal.aborted);
});

test('an unlinked signal no longer follows its parent, but can be aborted', t => {
  const parent = new AbortController();
  const link = new LinkedAbort(parent.signal);
  link.unlink();
  parent.abort();
  t.false(link.signal.aborted);
  link.abort();
  t.true(link.signal.aborted);
});
