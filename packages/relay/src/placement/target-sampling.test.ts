import test from 'ava';

import { createPrompt, createEngine } from '../fixtures/relay-fixtures.js';

import { sampleTargets, findRendezvousTarget } from './target-sampling.js';
import { placeGeneration } from './placement.js';
import type { PlacementOptions } from './placement.js';
import { PrefillSpeed } from './prefill-speed.js';

const instanceCount = 80;

const createEngines = (role: 'prefill' | 'decode', count: number) =>
  Array.from({ length: count }, (_, i) => createEngine(`${role}-${i}`, role));

/** Numbers that look random and repeat with the seed. */
const createRandom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
};

const placeOne = (
  targets: PlacementOptions['targets'],
  prompt: PlacementOptions['prompt'],
  random: PlacementOptions['random'],
) =>
  placeGeneration({
    targets,
    leavingTargets: [],
    prompt,
    prefillSpeed: new PrefillSpeed(),
    slots: 64,
    transferMsPerToken: 0.0004,
    dataCenter: 'a',
    excluded: new Set(),
    unreached: new Set(),
    random,
  });

/** Each instance places one request before it hears of any other. */
const placeWithoutLoadReports = (
  targets: PlacementOptions['targets'],
  random: PlacementOptions['random'],
) =>
  Array.from({ length: instanceCount }, (_, i) =>
    placeOne(
      targets,
      createPrompt(`own-${i}`, { shared: 0, own: 9_000 }),
      random,
    ),
  );

const countMostCommon = (ids: readonly (string | undefined)[]): number => {
  const counts = new Map<string | undefined, number>();
  for (const id of ids) counts.set(id, (counts.get(id) ?? 0) + 1);
  return Math.max(...counts.values());
};

test('instances with the same late picture do not all choose one engine', t => {
  const targets = [
    ...createEngines('prefill', 16),
    ...createEngines('decode', 16),
  ];
  const alone = placeWithoutLoadReports(targets, undefined);
  const spread = placeWithoutLoadReports(targets, createRandom(7));
  const decoders = (placements: typeof alone) =>
    countMostCommon(
      placements.map(placement => placement?.decodeTarget.record.id),
    );
  t.is(decoders(alone), instanceCount, 'what drawing is there to avoid');
  t.true(decoders(spread) <= instanceCount / 4, `${decoders(spread)}`);
});

test('a shared part has the same home everywhere, and homes differ', t => {
  const readers = createEngines('prefill', 8);
  const shared = Array.from({ length: 200 }, (_, i) => ({
    ...createPrompt('own'),
    segments: [
      { id: `shared-${i}`, tokens: 4_000 },
      { id: 'own', tokens: 1_000 },
    ],
  }));
  const homes = shared.map(
    prompt => findRendezvousTarget(readers, prompt)?.record.id,
  );
  const others = shared.map(
    prompt => findRendezvousTarget([...readers].reverse(), prompt)?.record.id,
  );
  t.deepEqual(others, homes);
  t.true(countMostCommon(homes) <= 2 * (200 / 8), `${countMostCommon(homes)}`);
});

test('only the parts of an engine that is gone get another home', t => {
  const readers = createEngines('prefill', 8);
  for (let i = 0; i < 100; i += 1) {
    const prompt = {
      ...createPrompt('own'),
      segments: [{ id: `p-${i}`, tokens: 9 }],
    };
    const before = findRendezvousTarget(readers, prompt);
    const after = findRendezvousTarget(readers.slice(1), prompt);
    if (before !== readers[0]) t.is(after, before);
  }
});

test('the first reading of a shared part goes to its home', t => {
  const targets = [
    ...createEngines('prefill', 8),
    ...createEngines('decode', 8),
  ];
  const prompt = createPrompt('own', { shared: 9_000, own: 4_000 });
  const home = findRendezvousTarget(createEngines('prefill', 8), prompt)?.record
    .id;
  const placed = Array.from({ length: 10 }, (_, i) =>
    placeOne(targets, prompt, createRandom(i)),
  );
  t.true(placed.every(one => one?.prefillTarget?.record.id === home));
});

test('few targets are all sampled', t => {
  const targets = createEngines('decode', 2);
  const found = sampleTargets(targets, {
    dataCenter: 'a',
    random: createRandom(1),
  });
  t.is(found.length, 2);
});
