import test from 'ava';

import { ScalingReplay } from '../fixtures/scaling-replay.js';
import type { ReplayedLoad } from '../fixtures/scaling-replay.js';
import { QueueWaitPolicy } from '../roles/queue-wait-policy.js';

const settings = {
  min: 1,
  max: 21,
  startupMs: 4_000,
  spotPrice: 0.22,
  prices: { a: 1, b: 1, c: 1, d: 1 },
};

/** Longest wait of prompts, of a first event that may take 500 to 1,500 ms. */
const maxWaitMs = 400;

const createLoad = (
  tokensPerMs: number,
  runningRequests: number,
): ReplayedLoad => ({
  tokensPerMs: {
    a: tokensPerMs / 4,
    b: tokensPerMs / 4,
    c: tokensPerMs / 4,
    d: tokensPerMs / 4,
  },
  runningRequests,
});

/** Long prompts for 2.8 s, then many short answers for 2.8 s. */
const getBurstLoad = (nowMs: number) =>
  nowMs % 5_600 < 2_800 ? createLoad(320, 90) : createLoad(100, 220);

const createReplay = (seed: number) => {
  let state = seed;
  const random = () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
  return new ScalingReplay({
    settings,
    getLoad: getBurstLoad,
    onDemand: { a: 11, b: 11, c: 10, d: 10 },
    rolePolicy: new QueueWaitPolicy({
      getPrefillTokensPerMs: () => 61,
      getLatencyTargetMs: () => 1_000,
      minChangeIntervalMs: 4_500,
    }),
    random,
  });
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`neither policy undoes what the other did, with the targets of seed ${seed} given back`, t => {
    const replay = createReplay(seed);
    replay.runUntil(20_000);
    replay.longestWaitMs = 0;
    replay.runUntil(60_000);
    const roleChangeCount = replay.roleChanges.length;
    const orders = replay.runUntil(180_000);
    t.log(
      replay.roleChanges.length,
      roleChangeCount,
      orders.length,
      replay.longestWaitMs,
      replay.countOpen(),
    );
    t.true(orders.length <= 4, `${orders.length} orders in 120 s`);
    t.true(replay.roleChanges.length - roleChangeCount <= 4);
    t.true(replay.longestWaitMs <= maxWaitMs, `${replay.longestWaitMs} ms`);
    t.deepEqual(replay.listWithoutDecode(), []);
    t.true(replay.cost < 0.35 * 42 * 180);
  });
}

test('after the loss of a data centre both policies settle again', t => {
  const replay = createReplay(6);
  replay.runUntil(80_000);
  replay.longestWaitMs = 0;
  replay.reclaim('a', 0);
  replay.runUntil(140_000);
  t.log(replay.longestWaitMs);
  const roleChangeCount = replay.roleChanges.length;
  replay.runUntil(200_000);
  t.true(replay.roleChanges.length - roleChangeCount <= 4);
  t.deepEqual(replay.listWithoutDecode(), []);
});
