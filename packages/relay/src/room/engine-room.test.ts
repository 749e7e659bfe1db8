import test from 'ava';

import { createSeededRandom } from '../fixtures/seeded-random.js';
import { replayRoom } from '../fixtures/room-replay.js';
import type { RoomReplayOptions } from '../fixtures/room-replay.js';

import { EngineRoom } from './engine-room.js';
import type { EngineMemory, RoomConditions } from './engine-room.js';

const capacityTokens = 413_721;

/** Loads of a replay: how many of the instances place in a wave. */
const loads: readonly ((wave: number) => number)[] = [
  // All instances place at the same moment, twice.
  wave => (wave % 6 === 0 ? 1 : 0.03),
  () => 0.05,
  () => 0.3,
  () => 1,
];

const replay = (seed: number, rule: RoomReplayOptions['rule']) =>
  replayRoom({
    instanceCount: 84,
    engineCount: 42,
    capacityTokens,
    slots: 64,
    meanTokens: 17_000,
    waveCount: 10,
    getPlacingShare: loads[seed % loads.length] ?? (() => 1),
    maxDurationMs: 6_000,
    random: createSeededRandom(seed),
    rule,
  });

const drawsPerTest = 100;

for (let part = 0; part < 10; part += 1) {
  test(`no engine gets more than it holds on late reports, draws ${part * drawsPerTest} and on`, t => {
    let placedCount = 0;
    for (let draw = 0; draw < drawsPerTest; draw += 1) {
      const seed = part * drawsPerTest + draw;
      const result = replay(seed, 'room');
      placedCount += result.placedCount;
      t.is(result.overfullEngines, 0, `seed ${seed}`);
    }
    t.true(placedCount > 100 * drawsPerTest, String(placedCount));
  });
}

test('the same load on the rule that counts slots overfills engines in many draws', t => {
  let overfullDraws = 0;
  for (let seed = 0; seed < drawsPerTest; seed += 1)
    if (replay(seed, 'slots').overfullEngines > 0) overfullDraws += 1;
  t.true(overfullDraws > drawsPerTest / 3, String(overfullDraws));
});

const createMemory = (overrides: Partial<EngineMemory> = {}): EngineMemory => ({
  ownTokens: 0,
  recentOwnTokens: 0,
  otherTokens: 0,
  lowestRecentTokens: 0,
  instancesAhead: 0,
  ...overrides,
});

const createConditions = (
  overrides: Partial<RoomConditions> = {},
): RoomConditions => ({
  capacityTokens: 100_000,
  otherInstances: 20,
  endingRequests: 0,
  typicalTokens: 5_000,
  drawsSample: false,
  ...overrides,
});

test('a sole instance fills an engine up to its memory and not beyond', t => {
  const engine = createMemory({ ownTokens: 90_000 });
  const room = new EngineRoom(
    [engine],
    createConditions({ otherInstances: 0 }),
  );
  t.true(room.hasRoom(engine, 10_000));
  t.false(room.hasRoom(engine, 10_001));
});

test('an engine that all others may choose unseen takes only instances in their turn', t => {
  const first = createMemory();
  const second = createMemory({ instancesAhead: 7 });
  const late = createMemory({ instancesAhead: 9 });
  const full = { lowestRecentTokens: 60_000, otherTokens: 60_000 };
  const engines = [first, second, late];
  const room = new EngineRoom(engines, createConditions());
  t.true(room.hasRoom(first, 5_000));
  t.true(room.hasRoom(second, 5_000));
  t.false(room.hasRoom(late, 5_000));
  const fullRoom = new EngineRoom([createMemory(full)], createConditions());
  t.true(fullRoom.hasRoom(createMemory(full), 5_000));
  const behind = createMemory({ ...full, instancesAhead: 3 });
  t.false(fullRoom.hasRoom(behind, 5_000));
});

test('an instance uses its turn once within the window', t => {
  const engine = createMemory({ recentOwnTokens: 10_000, ownTokens: 10_000 });
  const room = new EngineRoom([engine], createConditions());
  t.false(room.hasRoom(engine, 5_000));
});

test('nobody sends in turn while others may act on an older report', t => {
  const conditions = createConditions({ otherInstances: 8 });
  const engine = createMemory({ otherTokens: 70_000, lowestRecentTokens: 0 });
  t.false(new EngineRoom([engine], conditions).hasRoom(engine, 5_000));
  const settled = { ...engine, lowestRecentTokens: 70_000 };
  t.true(new EngineRoom([settled], conditions).hasRoom(settled, 5_000));
});
