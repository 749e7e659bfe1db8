import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { CrashTracker } from '../crashes/crash-tracker.js';
import { RetryBudget } from './retry-budget.js';

const createRetryBudget = (instances = 4, knownSinceMs = -Infinity) => {
  const limits = { instances };
  const retryBudget = new RetryBudget({
    windowMs: 10_000,
    knownSinceMs,
    getLimits: () => ({
      retriesPerRequest: 0.2,
      deploymentAllowance: 40,
      instanceCount: limits.instances,
    }),
  });
  return { retryBudget, limits };
};

/** Sends a retry at once, if the budget allows one. */
const tryRetry = (retryBudget: RetryBudget): boolean => {
  const permit = retryBudget.tryReserveRetry();
  permit?.use();
  return permit !== undefined;
};

const consumeAllRetries = (retryBudget: RetryBudget): number => {
  let retryCount = 0;
  while (tryRetry(retryBudget)) retryCount += 1;
  return retryCount;
};

test.serial(
  'the retries of all instances stay within the limit of the deployment',
  t => {
    installPausedClock(t);
    const retryBudgets = [1, 2, 3, 4].map(
      () => createRetryBudget(4).retryBudget,
    );
    let requestCount = 0;
    let retryCount = 0;
    for (const retryBudget of retryBudgets) {
      for (let i = 0; i < 100; i += 1) retryBudget.recordRequest();
      requestCount += 100;
      retryCount += consumeAllRetries(retryBudget);
    }
    t.true(retryCount <= 0.2 * requestCount + 40, `${retryCount}`);
    t.true(retryCount > 60);
  },
);

test.serial('retries become available again as the window slides', async t => {
  const clock = installPausedClock(t);
  const { retryBudget } = createRetryBudget(4);
  t.true(consumeAllRetries(retryBudget) > 0);
  t.false(tryRetry(retryBudget));
  await clock.tickAsync(5_000);
  t.false(tryRetry(retryBudget));
  await clock.tickAsync(6_000);
  t.true(tryRetry(retryBudget));
});

test.serial(
  'the share of an instance shrinks as the instance count rises',
  t => {
    installPausedClock(t);
    const { retryBudget, limits } = createRetryBudget(4);
    limits.instances = 40;
    t.is(consumeAllRetries(retryBudget), 0);
  },
);

test.serial(
  'an instance that starts anew makes few retries until it knows a window',
  async t => {
    const clock = installPausedClock(t);
    const { retryBudget } = createRetryBudget(4, 0);
    t.is(consumeAllRetries(retryBudget), 0);
    for (let i = 0; i < 100; i += 1) retryBudget.recordRequest();
    t.is(consumeAllRetries(retryBudget), 8);
    await clock.tickAsync(11_000);
    t.true(consumeAllRetries(retryBudget) > 0);
  },
);

test.serial(
  'a burst of retries leaves room for those of a successor',
  async t => {
    const clock = installPausedClock(t);
    const { retryBudget } = createRetryBudget(4);
    for (let i = 0; i < 200; i += 1) retryBudget.recordRequest();
    // 0.95 of 50 retries, less the 16 that a successor may make.
    t.is(consumeAllRetries(retryBudget), 31);
    await clock.tickAsync(9_000);
    // 0.8 of 50 retries.
    t.is(consumeAllRetries(retryBudget), 9);
  },
);

test.serial(
  'a broken connection counts as a crash once the crash is confirmed',
  async t => {
    const clock = installPausedClock(t);
    const crashTracker = new CrashTracker({ log: createMemoryLog() });
    for (const id of ['a', 'b', 'c'])
      crashTracker.recordSuspectedCrash({ fingerprint: 'f' }, { id });
    const { requests } = crashTracker;
    t.false(requests.isRefused('f'));
    crashTracker.confirmCrash('a');
    crashTracker.confirmCrash('b');
    t.false(requests.isRefused('f'));
    t.deepEqual(
      requests
        .listCrashes(false)
        .map(({ fingerprint, target }) => [fingerprint, target]),
      [
        ['f', 'a'],
        ['f', 'b'],
      ],
    );
    await clock.tickAsync(4_000);
    crashTracker.confirmCrash('c');
    t.false(requests.isRefused('f'));
    const nowMs = performance.now();
    const crash = { startedAtMs: 0, atMs: nowMs, lastUseMs: nowMs };
    requests.apply([{ fingerprint: 'f', target: 'd', ...crash }], []);
    t.true(requests.isRefused('f'));
  },
);
