import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { RoomQueue, estimateWaitMs } from './room-queue.js';
import type { RoomTurnover, WaitingRequest } from './room-queue.js';

const turnover: RoomTurnover = {
  usedTokens: 100_000,
  holdMs: 1_000,
  instanceCount: 1,
};

const createQueue = () => {
  const queue = new RoomQueue();
  const placed: string[] = [];
  const refused: [string, number][] = [];
  const state = { freeTokens: 0 };
  const add = (
    name: string,
    overrides: Partial<WaitingRequest> = {},
    current = turnover,
  ) => {
    const tokens = overrides.tokens ?? 10_000;
    queue.add(
      {
        rank: 1,
        workTokens: 0,
        tokens,
        waitUntilMs: performance.now() + 1_000,
        tryPlace: () => {
          if (state.freeTokens < tokens) return false;
          state.freeTokens -= tokens;
          placed.push(name);
          return true;
        },
        refuse: waitMs => refused.push([name, Math.round(waitMs)]),
        ...overrides,
      },
      () => current,
    );
  };
  return { queue, placed, refused, state, add };
};

test.serial('room goes to rank, then to work done, not to arrival', async t => {
  const clock = installPausedClock(t);
  const { placed, state, add } = createQueue();
  add('early');
  add('later');
  add('worked', { workTokens: 4_000 });
  add('urgent', { rank: 0 });
  state.freeTokens = 30_000;
  await clock.tickAsync(60);
  t.deepEqual(placed, ['urgent', 'worked', 'early']);
});

test.serial('a request that fits passes one that needs more room', async t => {
  const clock = installPausedClock(t);
  const { placed, state, add } = createQueue();
  add('large', { tokens: 50_000 });
  add('small');
  state.freeTokens = 10_000;
  await clock.tickAsync(60);
  t.deepEqual(placed, ['small']);
});

test.serial('a request that would wait too long is refused at once', t => {
  installPausedClock(t);
  const { refused, add, queue } = createQueue();
  add('a', { tokens: 60_000 });
  add('b', { tokens: 60_000 });
  t.deepEqual(refused, [['b', 1_200]]);
  t.is(queue.length, 1);
});

test.serial('a more urgent request puts back the less urgent one', t => {
  installPausedClock(t);
  const { refused, add } = createQueue();
  add('less urgent', { tokens: 60_000, rank: 2 });
  add('urgent', { tokens: 60_000, rank: 0 });
  t.deepEqual(refused, [['less urgent', 1_200]]);
});

test.serial('a request that finds no room in its time is refused', async t => {
  const clock = installPausedClock(t);
  const { refused, add } = createQueue();
  add('a');
  await clock.tickAsync(1_000);
  t.is(refused.length, 1);
});

test('the room that becomes free is shared with the other instances', t => {
  t.is(estimateWaitMs(10_000, turnover), 100);
  t.is(estimateWaitMs(10_000, { ...turnover, instanceCount: 10 }), 1_000);
});
