import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { RequestActivity } from './request-activity.js';

const lengths = { activeMs: 100, restMs: 600 };

const setUp = (t: ExecutionContext) => {
  const clock = installPausedClock(t);
  const stop = new AbortController();
  const activity = new RequestActivity();
  const counts = { pauses: 0 };
  const countPauses = async () => {
    while (await activity.pause(lengths, stop.signal)) counts.pauses += 1;
  };
  return { clock, stop, activity, counts, countPauses };
};

test.serial('work is done often only while requests run', async t => {
  const { clock, stop, activity, counts, countPauses } = setUp(t);
  void countPauses();
  await clock.tickAsync(2_000);
  counts.pauses = 0;
  await clock.tickAsync(3_000);
  t.true(counts.pauses <= 5, `${counts.pauses} at rest`);
  const endRequest = activity.startRequest();
  counts.pauses = 0;
  await clock.tickAsync(150);
  t.true(counts.pauses >= 1, 'a request ends the rest');
  counts.pauses = 0;
  await clock.tickAsync(1_000);
  t.true(counts.pauses >= 9, `${counts.pauses} while a request runs`);
  endRequest();
  await clock.tickAsync(2_000);
  counts.pauses = 0;
  await clock.tickAsync(3_000);
  t.true(counts.pauses <= 5, `${counts.pauses} after the request`);
  stop.abort();
});

test.serial('pauses that end at about the same time share a timer', async t => {
  const { clock, stop, activity } = setUp(t);
  void activity.pause(lengths, stop.signal);
  await clock.tickAsync(20);
  void activity.pause(lengths, stop.signal);
  t.is(clock.countTimers(), 1);
  stop.abort();
  t.is(clock.countTimers(), 0, 'an aborted pause leaves no timer');
});

test.serial('an aborted pause says so', async t => {
  const { clock, stop, activity } = setUp(t);
  const active = activity.pause(lengths, stop.signal);
  await clock.tickAsync(50);
  stop.abort();
  t.false(await active);
  t.false(await activity.pause(lengths, stop.signal));
});
