import test from 'ava';

import { pausedClock } from '../fixtures/paused-clock.js';

import { CrashCounts } from './crash-tracker.js';
import { RetryWindow } from './retry-budget.js';

const setUp = (instances = 4) => {
  const held = { instances };
  const window = new RetryWindow({
    windowMs: 10_000,
    allowed: () => ({
      ratio: 0.2,
      allowance: 40,
      instances: held.instances,
    }),
  });
  return { window, held };
};

const takeAll = (window: RetryWindow): number => {
  let taken = 0;
  while (window.take()) taken += 1;
  return taken;
};

test.serial('all instances together stay within the deployment', t => {
  pausedClock(t);
  const windows = [1, 2, 3, 4].map(() => setUp(4).window);
  let requests = 0;
  let retries = 0;
  for (const window of windows) {
    for (let i = 0; i < 100; i += 1) window.request();
    requests += 100;
    retries += takeAll(window);
  }
  t.true(retries <= 0.2 * requests + 40, `${retries}`);
  t.true(retries > 60);
});

test.serial('retries are earned again as the window slides', async t => {
  const clock = pausedClock(t);
  const { window } = setUp(4);
  t.true(takeAll(window) > 0);
  t.false(window.take());
  await clock.tickAsync(5_000);
  t.false(window.take());
  await clock.tickAsync(6_000);
  t.true(window.take());
});

test.serial('a share shrinks when more instances are heard of', t => {
  pausedClock(t);
  const { window, held } = setUp(4);
  held.instances = 40;
  t.is(takeAll(window), 0);
});

test.serial(
  'a broken connection counts once its target has crashed',
  async t => {
    const clock = pausedClock(t);
    const crashes = new CrashCounts();
    for (const target of ['a', 'b', 'c']) crashes.suspect('f', target);
    t.false(crashes.poisoned('f'));
    crashes.crashed('a');
    crashes.crashed('b');
    t.false(crashes.poisoned('f'));
    t.deepEqual(crashes.takeNew(), [
      ['f', 'a'],
      ['f', 'b'],
    ]);
    await clock.tickAsync(4_000);
    crashes.crashed('c');
    t.false(crashes.poisoned('f'));
    crashes.learn('f', 'd');
    t.true(crashes.poisoned('f'));
  },
);
