import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { RequestLimiter } from './request-limiter.js';

const windowMs = 4_000;
const stepMs = 50;

/** Most requests that a target may get in 4 s from all instances together. */
const computeAllowedRequests = (limit: number): number => 1.5 * 4 * limit + 5;

const createNames = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `instance-${i}`);

const createLimiter = (self: string, names: readonly string[], random = 0.5) =>
  new RequestLimiter({
    target: 't1',
    getGroup: () => ({ self, names }),
    random: () => random,
  });

/** Limiters of all instances, which have just been told of the limit. */
const createFleet = (instanceCount: number, limit: number) => {
  const names = createNames(instanceCount);
  return names.map((name, i) => {
    const limiter = createLimiter(name, names, i / instanceCount);
    limiter.statement.recordLimit(limit, performance.now());
    return limiter;
  });
};

/** Sends whenever a limiter permits it; returns the times of the requests. */
const sendAll = async (
  clock: ReturnType<typeof installPausedClock>,
  limiters: readonly RequestLimiter[],
  limit: number,
  durationMs: number,
): Promise<number[]> => {
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    await clock.tickAsync(stepMs);
    for (const limiter of limiters) {
      while (limiter.tryTakePermit()) {
        sentAtMs.push(performance.now());
        for (const { statement } of limiters)
          statement.recordLimit(limit, performance.now());
      }
    }
  }
  return sentAtMs;
};

const countMostInWindow = (times: readonly number[], lengthMs: number) =>
  Math.max(
    0,
    ...times.map(
      startMs =>
        times.filter(ms => ms >= startMs && ms < startMs + lengthMs).length,
    ),
  );

for (const instanceCount of [1, 8, 80, 200]) {
  for (const limit of [0, 0.05, 0.7, 2, 2.6, 9, 40]) {
    test.serial(
      `${instanceCount} instances with many requests keep a limit of ${limit} a second and use it`,
      async t => {
        const clock = installPausedClock(t);
        const limiters = createFleet(instanceCount, limit);
        const durationMs = 20_000;
        const times = await sendAll(clock, limiters, limit, durationMs);
        const allowed = computeAllowedRequests(limit);
        t.true(countMostInWindow(times, windowMs) <= allowed);
        const usable = (Math.min(limit, 15) * durationMs) / 1_000;
        t.true(times.length >= 0.6 * usable, `${times.length} requests`);
      },
    );
  }
}

test.serial(
  'sends of a second and a half that arrive together keep the limit',
  async t => {
    const clock = installPausedClock(t);
    for (const limit of [0, 1, 2, 5]) {
      const limiters = createFleet(80, limit);
      const times = await sendAll(clock, limiters, limit, 20_000);
      const allowed = computeAllowedRequests(limit);
      t.true(countMostInWindow(times, windowMs + 1_500) <= allowed);
    }
  },
);

test.serial('an instance that is not in contact keeps its part', t => {
  const clock = installPausedClock(t);
  const limiters = createFleet(8, 2);
  clock.tick(2_100);
  const [sender] = limiters.filter(({ hasPermit }) => hasPermit);
  let sentCount = 0;
  for (let i = 0; i < 40; i += 1) {
    clock.tick(100);
    if (sender?.tryTakePermit() === true) sentCount += 1;
  }
  t.true(sentCount >= 1 && sentCount <= 3, `${sentCount} requests`);
});

test.serial(
  'a target of which nothing is heard is tried by the other instances',
  t => {
    const clock = installPausedClock(t);
    const limiters = createFleet(8, 2);
    clock.tick(3_900);
    const silent = limiters.filter(({ hasPermit }) => !hasPermit);
    t.is(silent.length, 4);
    clock.tick(60_000);
    const [first] = silent;
    t.true(first?.tryTakePermit());
    t.false(first?.tryTakePermit());
    first?.statement.recordNoLimit(performance.now());
    t.true(first?.tryTakePermit());
    t.is(first?.waitMs, 0);
  },
);

test.serial('a held permit can be used later, and by nobody else', t => {
  const clock = installPausedClock(t);
  const limiter = createLimiter('a', ['a']);
  limiter.statement.recordLimit(1, 0);
  clock.tick(1);
  t.false(limiter.hasPermit);
  t.is(limiter.waitMs, 1_000);
  clock.tick(1_100);
  const returnPermit = limiter.holdPermit();
  t.false(limiter.hasPermit);
  returnPermit();
  returnPermit();
  t.true(limiter.tryTakePermit());
  t.false(limiter.tryTakePermit());
});

test.serial(
  'a changed limit holds at once, and a restart of the target ends it',
  t => {
    const clock = installPausedClock(t);
    const limiter = createLimiter('a', ['a']);
    limiter.statement.recordLimit(100, 0);
    clock.tick(5_000);
    t.true(limiter.tryTakePermit());
    limiter.statement.recordLimit(0, 5_000);
    while (limiter.tryTakePermit()) clock.tick(1);
    clock.tick(2_000);
    t.false(limiter.hasPermit);
    limiter.clear();
    t.true(limiter.hasPermit);
  },
);
