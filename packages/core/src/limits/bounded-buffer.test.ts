/** Tests of the blocking and the end of a bounded buffer. */
import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import { BoundedBuffer } from './bounded-buffer.js';

test.serial(
  'push() waits while the buffer is full and returns false after the stall timeout',
  async t => {
    const clock = install();
    t.teardown(() => {
      clock.uninstall();
    });
    const buffer = new BoundedBuffer<string>({
      maxBytes: 4,
      measureBytes: item => item.length,
      stallTimeoutMs: 1_000,
    });
    t.true(await buffer.push('ab'));
    t.true(await buffer.push('cd'));
    const pendingPush = buffer.push('ef');
    await clock.tickAsync(999);
    t.is(buffer.bufferedBytes, 4);
    t.deepEqual(await buffer.next(), { done: false, value: 'ab' });
    t.true(await pendingPush);
    const stalledPush = buffer.push('gh');
    await clock.tickAsync(1_000);
    t.false(await stalledPush, 'not added');
    buffer.addWithoutWaiting('last');
    buffer.end();
    const rest: string[] = [];
    for await (const item of buffer) rest.push(item);
    t.deepEqual(rest, ['cd', 'ef', 'last']);
    t.false(await buffer.push('late'));
  },
);

test('return() ends a waiting push() and empties the buffer', async t => {
  const buffer = new BoundedBuffer<string>({
    maxBytes: 1,
    measureBytes: item => item.length,
    stallTimeoutMs: 60_000,
  });
  await buffer.push('a');
  const pendingPush = buffer.push('b');
  await buffer.return();
  t.false(await pendingPush);
  t.is(buffer.bufferedBytes, 0);
});
