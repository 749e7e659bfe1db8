import test from 'ava';

import { EventLoopUsage } from './event-loop-usage.js';
import type { EventLoopTimes, SaturatedWindow } from './event-loop-usage.js';

const setUp = () => {
  let times: EventLoopTimes = { active: 400, idle: 0 };
  const windows: SaturatedWindow[] = [];
  const usage = new EventLoopUsage(
    window => windows.push(window),
    () => times,
  );
  /** Lets the event loop be busy and idle for the milliseconds. */
  const pass = (active: number, idle: number): void => {
    times = { active: times.active + active, idle: times.idle + idle };
    usage.update();
  };
  return { usage, windows, pass };
};

test('an event loop that is busy all the time is reported once a window', t => {
  const { windows, pass } = setUp();
  for (let i = 0; i < 30; i += 1) pass(100, 0);
  t.deepEqual(windows, [
    { busyShare: 1, windowMs: 1_000 },
    { busyShare: 1, windowMs: 1_000 },
    { busyShare: 1, windowMs: 1_000 },
  ]);
});

test('an event loop that rests for a tenth of the time is not reported', t => {
  const { windows, pass } = setUp();
  for (let i = 0; i < 30; i += 1) pass(90, 10);
  t.deepEqual(windows, []);
});

test('a busy event loop is judged by what comes after the last window', t => {
  const { windows, pass } = setUp();
  pass(0, 5_000);
  pass(1_000, 20);
  t.is(windows.length, 1);
});

test('the busy time counts from the start of the process', t => {
  const { usage, pass } = setUp();
  pass(600, 5_000);
  t.is(usage.busySeconds, 1);
});
