import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { CrashTracker } from './crash-tracker.js';
import { RetryBudget } from './retry-budget.js';

const createRetryBudget = (instances = 4) => {
  const held = { instances };
  const window = new RetryBudget({
    windowMs: 10_000,
    getLimits: () => ({
      retriesPerRequest: 0.2,
      deploymentAllowance: 40,
      instanceCount: held.instances,
    }),
  });
  return { window, held };
};

const consumeAllRetries = (window: RetryBudget): number => {
  let taken = 0;
  while (window.tryConsumeRetry()) taken += 1;
  return taken;
};

test.serial('all instances together stay within the deployment', t => {
  installPausedClock(t);
  const windows = [1, 2, 3, 4].map(() => createRetryBudget(4).window);
  let requests = 0;
  let retries = 0;
  for (const window of windows) {
    for (let i = 0; i < 100; i += 1) window.recordRequest();
    requests += 100;
    retries += consumeAllRetries(window);
  }
  t.true(retries <= 0.2 * requests + 40, `${retries}`);
  t.true(retries > 60);
});

test.serial('retries are earned again as the window slides', async t => {
  const clock = installPausedClock(t);
  const { window } = createRetryBudget(4);
  t.true(consumeAllRetries(window) > 0);
  t.false(window.tryConsumeRetry());
  await clock.tickAsync(5_000);
  t.false(window.tryConsumeRetry());
  await clock.tickAsync(6_000);
  t.true(window.tryConsumeRetry());
});

test.serial('a share shrinks when more instances are heard of', t => {
  installPausedClock(t);
  const { window, held } = createRetryBudget(4);
  held.instances = 40;
  t.is(consumeAllRetries(window), 0);
});

test.serial(
  'a broken connection counts once its target has crashed',
  async t => {
    const clock = installPausedClock(t);
    const crashes = new CrashTracker();
    for (const target of ['a', 'b', 'c'])
      crashes.recordSuspectedCrash('f', target);
    t.false(crashes.isPoisonRequest('f'));
    crashes.confirmCrash('a');
    crashes.confirmCrash('b');
    t.false(crashes.isPoisonRequest('f'));
    t.deepEqual(crashes.takeUnreportedCrashes(), [
      ['f', 'a'],
      ['f', 'b'],
    ]);
    await clock.tickAsync(4_000);
    crashes.confirmCrash('c');
    t.false(crashes.isPoisonRequest('f'));
    crashes.recordCrash('f', 'd');
    t.true(crashes.isPoisonRequest('f'));
  },
);
