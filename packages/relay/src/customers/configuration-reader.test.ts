/** Tests that many requests with unknown keys cost the platform few reads. */
import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { ConfigurationReader } from './configuration-reader.js';

test.serial(
  'one read serves all that wait, and at most five reads start in a second',
  async t => {
    const clock = installPausedClock(t);
    const startsMs: number[] = [];
    const reader = new ConfigurationReader(() => {
      startsMs.push(performance.now());
      return Promise.resolve(true);
    });
    for (let i = 0; i < 999; i += 1) {
      void reader.requestRead();
      await clock.tickAsync(1);
    }
    t.true(startsMs.length >= 4 && startsMs.length <= 5, startsMs.join(' '));
  },
);

test.serial(
  'a request that comes during a read waits for the next one',
  async t => {
    const clock = installPausedClock(t);
    const ends: (() => void)[] = [];
    const reader = new ConfigurationReader(
      () =>
        new Promise(resolve => {
          ends.push(() => {
            resolve(true);
          });
        }),
    );
    void reader.requestRead();
    await clock.tickAsync(300);
    let hasEnded = false;
    void reader.requestRead().then(() => {
      hasEnded = true;
    });
    ends[0]?.();
    await clock.tickAsync(1);
    t.is(ends.length, 2);
    t.false(hasEnded);
    ends[1]?.();
    await clock.tickAsync(1);
    t.true(hasEnded);
  },
);

test.serial('a read that fails does not keep back the next ones', async t => {
  const clock = installPausedClock(t);
  let readCount = 0;
  const reader = new ConfigurationReader(() => {
    readCount += 1;
    return readCount === 1
      ? Promise.reject(new Error('row of an unexpected form'))
      : Promise.resolve(true);
  });
  const first = reader.requestRead();
  await clock.tickAsync(300);
  await t.notThrowsAsync(first);
  const second = reader.requestRead();
  await clock.tickAsync(300);
  await t.notThrowsAsync(second);
  t.is(readCount, 2);
});

test.serial('reads that fail become fewer until one succeeds', async t => {
  const clock = installPausedClock(t);
  let readCount = 0;
  let isDown = true;
  const reader = new ConfigurationReader(() => {
    readCount += 1;
    return Promise.resolve(!isDown);
  });
  for (let i = 0; i < 8_000; i += 100) {
    void reader.requestRead();
    await clock.tickAsync(100);
  }
  t.true(readCount >= 5 && readCount <= 9, `${readCount} reads in 8 s`);
  isDown = false;
  void reader.requestRead();
  await clock.tickAsync(1_600);
  readCount = 0;
  for (let i = 0; i < 1_000; i += 100) {
    void reader.requestRead();
    await clock.tickAsync(100);
  }
  t.true(readCount >= 4);
});
