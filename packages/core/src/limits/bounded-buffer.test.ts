import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import { BoundedBuffer } from './bounded-buffer.js';

test.serial(
  'a slow caller holds the writer back and then stalls it',
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
    const held = buffer.push('ef');
    await clock.tickAsync(999);
    t.is(buffer.bufferedBytes, 4);
    t.deepEqual(await buffer.next(), { done: false, value: 'ab' });
    t.true(await held);
    const stalled = buffer.push('gh');
    await clock.tickAsync(1_000);
    t.false(await stalled, 'not added');
    buffer.addWithoutWaiting('last');
    buffer.end();
    const rest: string[] = [];
    for await (const item of buffer) rest.push(item);
    t.deepEqual(rest, ['cd', 'ef', 'last']);
    t.false(await buffer.push('late'));
  },
);

test('a caller that reads no further lets the writer go', async t => {
  const buffer = new BoundedBuffer<string>({
    maxBytes: 1,
    measureBytes: item => item.length,
    stallTimeoutMs: 60_000,
  });
  await buffer.push('a');
  const held = buffer.push('b');
  await buffer.return();
  t.false(await held);
  t.is(buffer.bufferedBytes, 0);
});
