import test from 'ava';

import { createEngine, createPrompt } from '../fixtures/relay-fixtures.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import { createSeededRandom } from '../fixtures/seeded-random.js';
import { placeGeneration } from '../placement/placement.js';
import { PrefillSpeed } from '../placement/prefill-speed.js';
import type { TargetState } from '../targets/target-state.js';

import { EngineTurns } from './engine-turns.js';
import { createTokenDemand } from './held-tokens.js';
import { createRoomCheck } from './room-check.js';

const names = Array.from({ length: 84 }, (_, i) => `i${i}`);

const createTurns = (): EngineTurns =>
  new EngineTurns(() => ({ self: 'i0', names }));

const createEngines = (): TargetState[] =>
  Array.from({ length: 42 }, (_, i) =>
    createEngine(`e${i}`, i % 3 === 0 ? 'prefill' : 'decode', {
      dataCenter: i % 2 === 0 ? 'a' : 'b',
    }),
  );

/** Places the requests of one instance, with or without regard to memory. */
const placeAll = (
  seed: number,
  countsRoom: boolean,
): (string | undefined)[] => {
  const random = createSeededRandom(seed);
  const targets = createEngines();
  for (const target of targets) {
    const activeRequestCount = Math.floor(random() * 8);
    target.setOtherInstancesLoad({
      pendingPrefillTokens: Math.floor(random() * 5_000),
      activeRequestCount,
      heldTokens: activeRequestCount * 6_000,
      countedRequests: activeRequestCount,
    });
  }
  const turns = createTurns();
  const placed: (string | undefined)[] = [];
  for (let i = 0; i < 20; i += 1) {
    const prompt = createPrompt(`own-${i}`, {
      shared: Math.floor(random() * 8_000),
      own: 500 + Math.floor(random() * 4_000),
    });
    const room = createRoomCheck({
      targets,
      prompt,
      capacityTokens: 413_721,
      typicalTokens: 4_000,
      turns,
      holdMs: 4_000,
      drawsSample: true,
    });
    const placement = placeGeneration({
      targets,
      leavingTargets: [],
      prompt,
      prefillSpeed: new PrefillSpeed(),
      slots: 64,
      transferMsPerToken: 0.0004,
      dataCenter: 'a',
      excluded: new Set(),
      unreached: new Set(),
      origin: undefined,
      random,
      room: countsRoom ? room : undefined,
    });
    placed.push(
      placement?.prefillTarget?.record.id,
      placement?.decodeTarget.record.id,
    );
    placement?.decodeTarget.startRequest();
    placement?.decodeTarget.heldTokens.hold(createTokenDemand(prompt, 100));
  }
  return placed;
};

test.serial(
  'while memory is not scarce, placement is the same as without regard to it',
  t => {
    installPausedClock(t);
    for (let seed = 0; seed < 25; seed += 1)
      t.deepEqual(placeAll(seed, true), placeAll(seed, false), `seed ${seed}`);
  },
);

test('requests of instances that report no tokens count with the typical size', t => {
  const target = createEngine('e1', 'decode');
  const prompt = createPrompt('own');
  const check = () =>
    createRoomCheck({
      targets: [target],
      prompt,
      capacityTokens: 100_000,
      typicalTokens: 10_000,
      holdMs: undefined,
      turns: new EngineTurns(() => ({ self: 'a', names: ['a'] })),
      drawsSample: false,
    }).hasRoom(target, 'decode');
  target.setOtherInstancesLoad({
    pendingPrefillTokens: 0,
    activeRequestCount: 9,
  });
  t.true(check());
  target.setOtherInstancesLoad({
    pendingPrefillTokens: 0,
    activeRequestCount: 10,
  });
  t.false(check());
});

test('every instance has one place of its own in the order of an engine', t => {
  const places = names.map(self =>
    new EngineTurns(() => ({ self, names })).countAhead('e1'),
  );
  t.deepEqual(
    places.sort((a, b) => a - b),
    names.map((_, i) => i),
  );
});
