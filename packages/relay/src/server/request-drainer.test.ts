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
  const drainer = new RequestDrainer();
  const state = {
    isAccepting: true,
    hasEnded: false,
    endedAtMs: [] as number[],
  };
  const startDrain = (
    drainGraceMs = graceMs,
    finishUnanswered: () => void = () => undefined,
  ) => {
    void drainer
      .drainRequests(
        drainGraceMs,
        () => {
          state.isAccepting = false;
        },
        () => {
          state.endedAtMs.push(performance.now());
          finishUnanswered();
        },
      )
      .then(() => {
        state.hasEnded = true;
      });
  };
  return { clock, drainer, state, startDrain };
};

test.serial(
  'requests are accepted until the load balancer has detected the stop',
  async t => {
    const { clock, drainer, state, startDrain } = setUp(t);
    startDrain();
    t.true(drainer.isDraining);
    await clock.tickAsync(3_000);
    t.true(state.isAccepting);
    t.false(drainer.isClosing);
    await clock.tickAsync(500);
    t.false(state.isAccepting);
    t.true(state.hasEnded);
  },
);

test.serial(
  'a request in flight at the close completes before the drain ends',
  async t => {
    const { clock, drainer, state, startDrain } = setUp(t);
    const finishFirst = drainer.startRequest(() => undefined);
    startDrain();
    await clock.tickAsync(4_000);
    finishFirst();
    await clock.tickAsync(10);
    t.false(state.isAccepting);
    const finishInFlight = drainer.startRequest(() => undefined);
    await clock.tickAsync(1_500);
    t.false(state.hasEnded);
    finishInFlight();
    await clock.tickAsync(10);
    t.true(state.hasEnded);
  },
);

test.serial(
  'the drain ends before the process is killed even if a request still runs',
  async t => {
    const { clock, drainer, state, startDrain } = setUp(t);
    drainer.startRequest(() => undefined);
    startDrain();
    await clock.tickAsync(3_200);
    t.is(drainer.remainingMs, 4_000);
    await clock.tickAsync(3_800);
    t.false(state.hasEnded);
    await clock.tickAsync(500);
    t.true(state.hasEnded);
  },
);

// Guards against accepting requests late in a stop that can't end before the drain does.
test.serial(
  'the time available to a request is bounded before connections close',
  async t => {
    const { clock, drainer, startDrain } = setUp(t);
    startDrain();
    await clock.tickAsync(2_400);
    t.is(drainer.remainingMs, Infinity);
    await clock.tickAsync(100);
    t.is(drainer.remainingMs, 4_700);
    await clock.tickAsync(600);
    t.false(drainer.isClosing);
    t.is(drainer.remainingMs, 4_100);
  },
);

// Guards against connections that are cut at the end of a stop, without an answer.
test.serial(
  'requests without an answer are ended in the last sixth of the grace period',
  async t => {
    for (const drainGraceMs of [600, 1_000, 2_000, 4_000, 8_000, 30_000]) {
      const { clock, drainer, state, startDrain } = setUp(t);
      const finish = drainer.startRequest(() => undefined);
      startDrain(drainGraceMs, finish);
      await clock.tickAsync(drainGraceMs);
      t.true(state.hasEnded);
      const [endedAtMs = 0] = state.endedAtMs;
      t.true(endedAtMs >= (drainGraceMs * 5) / 6, String(endedAtMs));
      t.true(endedAtMs < drainGraceMs, String(endedAtMs));
      clock.uninstall();
    }
  },
);
