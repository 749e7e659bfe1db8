import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { RequestDrainer } from './request-drainer.js';

const graceMs = 8_000;

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const drain = new RequestDrainer();
  const state = { accepting: true, ended: false };
  const start = () => {
    void drain
      .drainRequests(graceMs, () => {
        state.accepting = false;
      })
      .then(() => {
        state.ended = true;
      });
  };
  return { clock, drain, state, start };
};

test.serial(
  'requests are taken until the balancer has looked away',
  async t => {
    const { clock, drain, state, start } = setUp(t);
    start();
    t.true(drain.isDraining);
    await clock.tickAsync(3_000);
    t.true(state.accepting);
    t.false(drain.isClosing);
    await clock.tickAsync(500);
    t.false(state.accepting);
    t.true(state.ended);
  },
);

test.serial(
  'a request that crosses the close ends before the process',
  async t => {
    const { clock, drain, state, start } = setUp(t);
    const first = drain.startRequest();
    start();
    await clock.tickAsync(4_000);
    first();
    await clock.tickAsync(10);
    t.false(state.accepting);
    const crossing = drain.startRequest();
    await clock.tickAsync(1_500);
    t.false(state.ended);
    crossing();
    await clock.tickAsync(10);
    t.true(state.ended);
  },
);

test.serial('what runs too long is given up before the forced end', async t => {
  const { clock, drain, state, start } = setUp(t);
  drain.startRequest();
  start();
  await clock.tickAsync(3_200);
  t.is(drain.remainingMs, 4_000);
  await clock.tickAsync(3_800);
  t.false(state.ended);
  await clock.tickAsync(500);
  t.true(state.ended);
});
