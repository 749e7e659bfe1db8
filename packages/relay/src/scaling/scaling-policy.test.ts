import test from 'ava';

import { ScalingReplay } from '../fixtures/scaling-replay.js';
import type { ScalingReplayOptions } from '../fixtures/scaling-replay.js';
import type { ScalingSettings } from '../routes/route-configuration.js';

import { ScalingPolicy } from './scaling-policy.js';

const settings: ScalingSettings = {
  min: 1,
  max: 21,
  startupMs: 4_000,
  spotPrice: 0.22,
  prices: { a: 1, b: 1, c: 1.05, d: 1.1 },
};

const fourTimesTooMany = { a: 11, b: 11, c: 10, d: 10 };
const initialCount = 42;

/** Wait of prompts within which a first event still comes in half a second. */
const maxWaitMs = 150;

/** Spreads the tokens of all callers over the data centres. */
const createLoad = (tokensPerMs: number, runningRequests = 120) => ({
  tokensPerMs: {
    a: 0.3 * tokensPerMs,
    b: 0.3 * tokensPerMs,
    c: 0.2 * tokensPerMs,
    d: 0.2 * tokensPerMs,
  },
  runningRequests,
});

/** Long prompts for 2.8 s, then short ones for 2.8 s; 210 tokens a millisecond on average. */
const getBurstLoad = (nowMs: number) =>
  createLoad(nowMs % 5_600 < 2_800 ? 320 : 100);

const createReplay = (options: Partial<ScalingReplayOptions> = {}) =>
  new ScalingReplay({
    settings,
    getLoad: getBurstLoad,
    onDemand: fourTimesTooMany,
    ...options,
  });

test('a calm day with four times too many targets soon costs a fraction, and no prompt waits', t => {
  const replay = createReplay({ getLoad: () => createLoad(210) });
  replay.runUntil(60_000);
  t.true(replay.cost < 0.45 * initialCount * 60, `cost ${replay.cost}`);
  t.is(replay.countOpen(undefined, false), 0);
  const costBefore = replay.cost;
  replay.runUntil(120_000);
  t.true(replay.cost - costBefore < 0.12 * initialCount * 60);
  t.is(replay.longestWaitMs, 0);
  t.log(`cost ${costBefore.toFixed(0)} of ${initialCount * 60} in 60 s`);
});

test('bursts every 2.8 s keep the targets of their peak, and order nothing to and fro', t => {
  const replay = createReplay();
  replay.runUntil(60_000);
  const settled = replay.countOpen();
  t.is(replay.longestWaitMs, 0);
  const later = replay.runUntil(300_000);
  t.true(later.length <= 3, `${later.length} orders in 4 minutes`);
  t.true(replay.countOpen() >= settled - 3);
  t.is(replay.longestWaitMs, 0);
});

test('targets are given back a few at a time, and only when others run', t => {
  const replay = createReplay();
  let total = initialCount;
  for (let nowMs = 500; nowMs <= 60_000; nowMs += 500) {
    const released = replay
      .runUntil(nowMs)
      .reduce(
        (sum, { before, desired }) => sum + Math.max(0, before - desired),
        0,
      );
    t.true(released <= 0.25 * total);
    if (nowMs < 10_000) t.is(released, 0);
    total = replay.countOpen();
  }
});

test('a surge of 14 s is met within one step, and is over before targets are given back', t => {
  const replay = createReplay({
    getLoad: nowMs =>
      nowMs >= 100_000 && nowMs < 114_000
        ? createLoad(1_400, 300)
        : getBurstLoad(nowMs),
  });
  replay.runUntil(100_000);
  const before = replay.countOpen();
  const ordered = replay.runUntil(101_500);
  t.true(ordered.length > 0);
  t.true(ordered.every(({ before: b, desired }) => desired > b));
  replay.runUntil(106_000);
  t.true(replay.countOpen() > 1.5 * before);
  const during = replay.runUntil(114_000);
  t.true(during.every(({ before: b, desired }) => desired > b));
  replay.runUntil(180_000);
  t.true(replay.countOpen() < 1.4 * before);
  t.log(`longest wait ${replay.longestWaitMs.toFixed(0)} ms`);
});

for (const noticeMs of [0, 3_000]) {
  test(`the spot targets of a data centre reclaimed with ${noticeMs} ms of notice leave enough, and are replaced elsewhere`, t => {
    const isRefused = (nowMs: number) => nowMs >= 80_000 && nowMs < 92_000;
    const replay = createReplay({
      answer: ({ dataCenter, isSpot }, nowMs) =>
        dataCenter === 'a' && isSpot && isRefused(nowMs)
          ? 'unavailable'
          : 'accepted',
    });
    replay.runUntil(80_000);
    const before = replay.countOpen();
    replay.reclaim('a', noticeMs);
    const orders = replay.runUntil(85_000);
    t.true(orders.every(each => each.dataCenter !== 'a' || !each.isSpot));
    t.true(orders.some(({ desired, before: b }) => desired > b));
    t.true(replay.countOpen() >= before - 2, 'replaced within a start');
    // The targets of any other data centre may be reclaimed next.
    replay.reclaim('b', noticeMs);
    replay.runUntil(120_000);
    t.true(replay.longestWaitMs <= maxWaitMs, `${replay.longestWaitMs} ms`);
    t.true(replay.countOpen('a') > 0);
    t.is(replay.countOpen(undefined, false), 0);
  });
}

test('without spot targets to be had anywhere, on-demand targets do, and refused orders become rare', t => {
  const replay = createReplay({
    answer: ({ isSpot }) => (isSpot ? 'unavailable' : 'accepted'),
  });
  replay.runUntil(120_000);
  t.is(replay.countOpen(undefined, true), 0);
  t.true(replay.countOpen() < 0.5 * initialCount);
  t.is(replay.longestWaitMs, 0);
  const refused = replay.orders.filter(
    ({ result }) => result === 'unavailable',
  );
  // After 0, 5, 15, 35, 75 and 115 s in each of four data centres.
  t.true(refused.length <= 24, `${refused.length} refused orders`);
});

test('with every order refused nothing is given back that is needed, and tries become rare', t => {
  const replay = createReplay({
    onDemand: { a: 2, b: 2, c: 1, d: 1 },
    answer: () => 'unavailable',
  });
  replay.runUntil(120_000);
  t.is(replay.countOpen(), 6);
  t.true(replay.orders.length <= 48, `${replay.orders.length} orders`);
});

test('a refused order is replaced at once by one for another data centre', t => {
  const replay = createReplay({
    onDemand: { a: 2, b: 2, c: 2, d: 2 },
    answer: ({ dataCenter }) =>
      dataCenter === 'a' ? 'unavailable' : 'accepted',
  });
  replay.runUntil(4_500);
  const next = replay.runUntil(5_000);
  t.true(next.some(({ result }) => result === 'accepted'));
  t.true(next.every(({ dataCenter, isSpot }) => dataCenter !== 'a' || !isSpot));
});

test('an order without effect counts as refused after three times the start-up time', t => {
  const replay = createReplay({
    onDemand: { a: 2, b: 2, c: 2, d: 2 },
    getLoad: () => createLoad(210),
    startsTargets: false,
  });
  const first = replay.runUntil(4_500);
  t.true(first.length > 0);
  t.deepEqual(replay.runUntil(16_000), []);
  const second = replay.runUntil(18_000);
  t.true(second.length > 0);
  t.true(second.every(({ isSpot }) => !isSpot));
});

test('an order whose answer was lost counts as given, and is repeated if nothing registers', t => {
  const createLossy = (arrives: boolean) => {
    let isFirst = true;
    return createReplay({
      onDemand: { a: 2, b: 2, c: 2, d: 2 },
      getLoad: () => createLoad(210),
      answer: (_, nowMs) => {
        isFirst &&= nowMs <= 4_500;
        return isFirst ? undefined : 'accepted';
      },
      startsTargets: arrives,
    });
  };
  const replay = createLossy(true);
  const lost = replay.runUntil(4_500);
  t.true(lost.length > 0);
  t.deepEqual(replay.runUntil(10_000), []);
  const repeated = replay.runUntil(12_000);
  t.deepEqual(
    repeated.map(({ dataCenter, desired }) => [dataCenter, desired]),
    lost.map(({ dataCenter, desired }) => [dataCenter, desired]),
  );
});

test('too many calls pause all orders for a second and change nothing', t => {
  let callCount = 0;
  const replay = createReplay({
    answer: () => {
      callCount += 1;
      return callCount === 1 ? 'rate_limited' : 'accepted';
    },
  });
  const [first] = replay.runUntil(4_500);
  t.is(first?.result, 'rate_limited');
  t.deepEqual(replay.runUntil(5_000), []);
  const again = replay.runUntil(6_000);
  t.true(
    again.some(
      ({ dataCenter, desired }) =>
        dataCenter === first?.dataCenter && desired === first.desired,
    ),
  );
});

test('a holder that starts in the middle watches for a start-up time, and keeps what it finds', t => {
  const replay = createReplay();
  replay.runUntil(100_000);
  const before = replay.countOpen();
  replay.policy = new ScalingPolicy('engines');
  t.deepEqual(replay.runUntil(104_000), []);
  const orders = replay.runUntil(130_000);
  t.true(orders.length <= 3);
  t.true(Math.abs(replay.countOpen() - before) <= 3);
  t.is(replay.longestWaitMs, 0);
});

test('nothing is ordered while the view is incomplete, nor before demand was seen for 3 s', t => {
  const replay = createReplay({
    settings: { ...settings, startupMs: 1_000 },
    getObstacle: nowMs =>
      nowMs >= 30_000 && nowMs < 50_000
        ? 'the store is out of reach'
        : undefined,
  });
  t.deepEqual(replay.runUntil(3_000), []);
  t.true(replay.runUntil(30_000 - 500).length > 0);
  const open = replay.countOpen();
  t.deepEqual(replay.runUntil(49_500), []);
  t.is(replay.countOpen(), open);
});

test('while most instances have long been out of reach, more is ordered but nothing given back', t => {
  const replay = createReplay({ isDemandPartial: () => true });
  const orders = replay.runUntil(60_000);
  t.true(orders.length > 0);
  t.true(orders.every(({ before, desired }) => desired > before));
});

test('a policy that got no view for 2 s watches again before it orders', t => {
  const policy = new ScalingPolicy('engines');
  const createView = (nowMs: number, tokensPerSecond: number) => ({
    nowMs,
    settings,
    capacity: {
      isEngine: true,
      prefillTokensPerMs: 61,
      requestsPerTarget: 64,
      eventGapMs: undefined,
    },
    dataCenters: ['a', 'b'].map(name => ({
      name,
      onDemand: { open: 1, leaving: 0 },
      spot: { open: 0, leaving: 0 },
      prefillTokensPerSecond: tokensPerSecond,
      runningRequests: 1,
    })),
    waitingTokens: 0,
    isDemandPartial: false,
    obstacle: undefined,
  });
  for (let nowMs = 0; nowMs < 4_000; nowMs += 500)
    t.deepEqual(policy.decide(createView(nowMs, 200_000)).orders, []);
  t.deepEqual(policy.decide(createView(7_000, 200_000)).orders, []);
  t.deepEqual(policy.decide(createView(8_500, 200_000)).orders, []);
});

test('cold caches at the start, whose peak is over before an engine starts, order no on-demand engines', t => {
  const replay = createReplay({
    onDemand: { a: 11, b: 11, c: 10, d: 10 },
    getLoad: nowMs => createLoad(nowMs < 6_000 ? 1_100 : 210),
  });
  const orders = replay.runUntil(60_000);
  const added = orders.filter(
    ({ isSpot, reason }) => !isSpot && reason === 'need',
  );
  t.deepEqual(added, []);
  t.is(replay.countOpen(undefined, false), 0);
});

test('where spot targets are refused, on-demand targets keep the lower bound without a queue', t => {
  const replay = createReplay({
    onDemand: { a: 0, b: 2, c: 2, d: 2 },
    getLoad: () => createLoad(20, 10),
    answer: ({ dataCenter, isSpot }) =>
      dataCenter === 'a' && isSpot ? 'unavailable' : 'accepted',
  });
  replay.runUntil(20_000);
  t.true(replay.countOpen('a', false) >= settings.min);
});

test('with one data centre spot targets replace none, as all may be lost at once', t => {
  const replay = createReplay({
    settings: { ...settings, prices: { a: 1 } },
    onDemand: { a: 3 },
    getLoad: () => ({ tokensPerMs: { a: 100 }, runningRequests: 20 }),
  });
  replay.runUntil(60_000);
  t.is(replay.countOpen('a', true), 0);
  t.true(replay.countOpen('a', false) >= 5);
});

test('spot targets that are not cheaper replace no on-demand targets', t => {
  const replay = createReplay({ settings: { ...settings, spotPrice: 0.9 } });
  replay.runUntil(120_000);
  t.is(replay.countOpen(undefined, true), 0);
  t.true(replay.countOpen() < 0.5 * initialCount);
  t.is(replay.longestWaitMs, 0);
});

test('capacity follows the callers to their data centre', t => {
  const replay = createReplay({
    getLoad: nowMs => ({
      tokensPerMs: nowMs < 60_000 ? { a: 200, b: 10 } : { a: 10, b: 200 },
      runningRequests: 50,
    }),
  });
  replay.runUntil(60_000);
  t.true(replay.countOpen('a') > replay.countOpen('b'));
  replay.runUntil(200_000);
  t.true(replay.countOpen('b') > replay.countOpen('a'));
});

test('targets above a lowered bound are given back, and too few for a raised one are ordered', t => {
  const bounds = { ...settings };
  const replay = createReplay({ settings: bounds });
  replay.runUntil(60_000);
  bounds.max = 4;
  replay.runUntil(64_000);
  for (const name of ['a', 'b', 'c', 'd']) t.true(replay.countOpen(name) <= 4);
  Object.assign(bounds, { min: 9, max: 12 });
  replay.runUntil(75_000);
  for (const name of ['a', 'b', 'c', 'd']) t.true(replay.countOpen(name) >= 9);
});
