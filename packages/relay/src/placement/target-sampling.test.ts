import test from 'ava';

import { aPrompt, anEngine } from '../fixtures/relay-fixtures.js';

import { sampled, homeOf } from './target-sampling.js';
import { placeGeneration } from './placement.js';
import type { PlacementOptions } from './placement.js';
import { ReadingSpeed } from './prefill-speed.js';

const instances = 80;

const engines = (role: 'prefill' | 'decode', count: number) =>
  Array.from({ length: count }, (_, i) => anEngine(`${role}-${i}`, role));

/** Numbers that look random and repeat with the seed. */
const numbersFrom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
};

const place = (
  targets: PlacementOptions['targets'],
  prompt: PlacementOptions['prompt'],
  random: PlacementOptions['random'],
) =>
  placeGeneration({
    targets,
    leaving: [],
    prompt,
    speed: new ReadingSpeed(),
    slots: 64,
    transferMsPerToken: 0.0004,
    dataCenter: 'a',
    excluded: new Set(),
    unreached: new Set(),
    random,
  });

/** Each instance places one request before it hears of any other. */
const placeBlindly = (
  targets: PlacementOptions['targets'],
  random: PlacementOptions['random'],
) =>
  Array.from({ length: instances }, (_, i) =>
    place(targets, aPrompt(`own-${i}`, { shared: 0, own: 9_000 }), random),
  );

const mostCommon = (ids: readonly (string | undefined)[]): number => {
  const counts = new Map<string | undefined, number>();
  for (const id of ids) counts.set(id, (counts.get(id) ?? 0) + 1);
  return Math.max(...counts.values());
};

test('instances with the same late picture do not all choose one engine', t => {
  const targets = [...engines('prefill', 16), ...engines('decode', 16)];
  const alone = placeBlindly(targets, undefined);
  const spread = placeBlindly(targets, numbersFrom(7));
  const decoders = (placements: typeof alone) =>
    mostCommon(placements.map(placement => placement?.decode.record.id));
  t.is(decoders(alone), instances, 'what drawing is there to avoid');
  t.true(decoders(spread) <= instances / 4, `${decoders(spread)}`);
});

test('a shared part has the same home everywhere, and homes differ', t => {
  const readers = engines('prefill', 8);
  const shared = Array.from({ length: 200 }, (_, i) => ({
    ...aPrompt('own'),
    parts: [
      { id: `shared-${i}`, tokens: 4_000 },
      { id: 'own', tokens: 1_000 },
    ],
  }));
  const homes = shared.map(prompt => homeOf(readers, prompt)?.record.id);
  const others = shared.map(
    prompt => homeOf([...readers].reverse(), prompt)?.record.id,
  );
  t.deepEqual(others, homes);
  t.true(mostCommon(homes) <= 2 * (200 / 8), `${mostCommon(homes)}`);
});

test('only the parts of an engine that is gone get another home', t => {
  const readers = engines('prefill', 8);
  for (let i = 0; i < 100; i += 1) {
    const prompt = { ...aPrompt('own'), parts: [{ id: `p-${i}`, tokens: 9 }] };
    const before = homeOf(readers, prompt);
    const after = homeOf(readers.slice(1), prompt);
    if (before !== readers[0]) t.is(after, before);
  }
});

test('the first reading of a shared part goes to its home', t => {
  const targets = [...engines('prefill', 8), ...engines('decode', 8)];
  const prompt = aPrompt('own', { shared: 9_000, own: 4_000 });
  const home = homeOf(engines('prefill', 8), prompt)?.record.id;
  const placed = Array.from({ length: 10 }, (_, i) =>
    place(targets, prompt, numbersFrom(i)),
  );
  t.true(placed.every(one => one?.prefill?.record.id === home));
});

test('few targets are all sampled', t => {
  const targets = engines('decode', 2);
  const found = sampled(targets, { dataCenter: 'a', random: numbersFrom(1) });
  t.is(found.length, 2);
});
