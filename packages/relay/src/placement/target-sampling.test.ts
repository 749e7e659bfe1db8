import test from 'ava';

import { createPrompt, createEngine } from '../fixtures/relay-fixtures.js';

import { sampleTargets, findRendezvousTarget } from './target-sampling.js';
import { placeGeneration } from './placement.js';
import type { PlacementOptions } from './placement-options.js';
import { PrefillSpeed } from './prefill-speed.js';

const instanceCount = 80;

const createEngines = (role: 'prefill' | 'decode', count: number) =>
  Array.from({ length: count }, (_, i) => createEngine(`${role}-${i}`, role));

/** Pseudo-random numbers in [0, 1), determined by the seed. */
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
    origin: undefined,
    random,
  });

/** Each instance places one request without load reports from the others. */
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

test('instances with the same outdated load data choose different engines', t => {
  const targets = [
    ...createEngines('prefill', 16),
    ...createEngines('decode', 16),
  ];
  const withoutSampling = placeWithoutLoadReports(targets, undefined);
  const withSampling = placeWithoutLoadReports(targets, createRandom(7));
  const countMostChosenDecode = (placements: typeof withoutSampling) =>
    countMostCommon(
      placements.map(placement => placement?.decodeTarget.record.id),
    );
  t.is(
    countMostChosenDecode(withoutSampling),
    instanceCount,
    'without sampling, all instances choose one engine',
  );
  t.true(
    countMostChosenDecode(withSampling) <= instanceCount / 4,
    `${countMostChosenDecode(withSampling)}`,
  );
});

test('the rendezvous target ignores target order and varies by segment', t => {
  const prefillEngines = createEngines('prefill', 8);
  const prompts = Array.from({ length: 200 }, (_, i) => ({
    ...createPrompt('own'),
    segments: [
      { id: `shared-${i}`, tokens: 4_000 },
      { id: 'own', tokens: 1_000 },
    ],
  }));
  const rendezvousIds = prompts.map(
    prompt => findRendezvousTarget(prefillEngines, prompt)?.record.id,
  );
  const reversedOrderIds = prompts.map(
    prompt =>
      findRendezvousTarget([...prefillEngines].reverse(), prompt)?.record.id,
  );
  t.deepEqual(reversedOrderIds, rendezvousIds);
  t.true(
    countMostCommon(rendezvousIds) <= 2 * (200 / 8),
    `${countMostCommon(rendezvousIds)}`,
  );
});

test('removing an engine moves only the segments assigned to it', t => {
  const prefillEngines = createEngines('prefill', 8);
  for (let i = 0; i < 100; i += 1) {
    const prompt = {
      ...createPrompt('own'),
      segments: [{ id: `p-${i}`, tokens: 9 }],
    };
    const targetBefore = findRendezvousTarget(prefillEngines, prompt);
    const targetAfter = findRendezvousTarget(prefillEngines.slice(1), prompt);
    if (targetBefore !== prefillEngines[0]) t.is(targetAfter, targetBefore);
  }
});

test('an uncached shared segment is prefilled at its rendezvous target', t => {
  const targets = [
    ...createEngines('prefill', 8),
    ...createEngines('decode', 8),
  ];
  const prompt = createPrompt('own', { shared: 9_000, own: 4_000 });
  const rendezvousId = findRendezvousTarget(createEngines('prefill', 8), prompt)
    ?.record.id;
  const placements = Array.from({ length: 10 }, (_, i) =>
    placeOne(targets, prompt, createRandom(i)),
  );
  t.true(
    placements.every(
      placement => placement?.prefillTarget?.record.id === rendezvousId,
    ),
  );
});

test('sampling returns all targets when there are only a few', t => {
  const targets = createEngines('decode', 2);
  const sampled = sampleTargets(targets, {
    dataCenter: 'a',
    random: createRandom(1),
  });
  t.is(sampled.length, 2);
});
