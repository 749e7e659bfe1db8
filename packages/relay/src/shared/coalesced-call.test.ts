import test from 'ava';

import { CoalescedCall } from './coalesced-call.js';

test('callers share the next run, which begins after their calls', async t => {
  const finishes: (() => void)[] = [];
  const call = new CoalescedCall(
    () =>
      new Promise<number>(resolve => {
        const run = finishes.length;
        finishes.push(() => {
          resolve(run);
        });
      }),
  );
  const first = call.run();
  await Promise.resolve();
  await new Promise(setImmediate);
  const others = [call.run(), call.run()];
  await new Promise(setImmediate);
  t.is(finishes.length, 1);
  finishes[0]?.();
  t.is(await first, 0);
  await new Promise(setImmediate);
  t.is(finishes.length, 2);
  finishes[1]?.();
  t.deepEqual(await Promise.all(others), [1, 1]);
});

test('a run that fails does not keep the next one from beginning', async t => {
  let runs = 0;
  const call = new CoalescedCall(() => {
    runs += 1;
    return runs === 1 ? Promise.reject(new Error('no')) : Promise.resolve(runs);
  });
  await t.throwsAsync(call.run());
  t.is(await call.run(), 2);
});
