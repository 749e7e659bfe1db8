/** Tests that jumps of the system's clock do not move counts to another window. */
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { TrueTime } from './true-time.js';

/** Lets the time of day differ from the monotonic clock by what the test sets. */
const setUp = (t: ExecutionContext) => {
  const clock = installPausedClock(t);
  const now = Date.now.bind(Date);
  const skew = { ms: 0 };
  Date.now = () => now() + skew.ms;
  return { clock, skew, time: new TrueTime() };
};

test.serial('a small correction of the clock is followed at once', t => {
  const { skew, time } = setUp(t);
  skew.ms = 200;
  t.is(time.nowMs, 200);
});

test.serial('a jump that is taken back within 5 s is not followed', t => {
  const { clock, skew, time } = setUp(t);
  skew.ms = -60_000;
  t.is(time.nowMs, 0);
  clock.tick(4_900);
  t.is(time.nowMs, 4_900);
  skew.ms = 0;
  clock.tick(5_000);
  t.is(time.nowMs, 9_900);
});

test.serial('a jump that holds for 5 s is followed', t => {
  const { clock, skew, time } = setUp(t);
  skew.ms = 60_000;
  t.is(time.nowMs, 0);
  clock.tick(5_000);
  t.is(time.nowMs, 65_000);
});

test.serial('the time of a second jump counts from its beginning', t => {
  const { clock, skew, time } = setUp(t);
  skew.ms = 60_000;
  t.is(time.nowMs, 0);
  clock.tick(4_000);
  skew.ms = 120_000;
  t.is(time.nowMs, 4_000);
  clock.tick(4_000);
  t.is(time.nowMs, 8_000);
  clock.tick(1_000);
  t.is(time.nowMs, 129_000);
});
