import test from 'ava';

import { findCrashCauses } from './crash-cause.js';
import type { SharedParts, TargetCrash } from './target-crash.js';

const createCrash = (
  atMs: number,
  suspects: readonly SharedParts[],
): TargetCrash => ({ target: `t${atMs}`, startedAtMs: 0, atMs, suspects });

const findParts = (
  crashes: readonly TargetCrash[],
  answers: Readonly<Record<string, number>> = {},
) =>
  findCrashCauses(crashes, part => answers[part] ?? -Infinity).map(
    ({ parts }) => parts,
  );

/** Deterministic numbers in [0, 1). */
const createRandom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
};

/** The prompt of a sound request: the common part, a subject and a document. */
const createSoundPrompt = (random: () => number): SharedParts => [
  'rules',
  `subject-${Math.floor(random() * 12)}`,
  `document-${Math.floor(random() * 300)}`,
];

/** Puts the part at a position of the prompt. */
const insertPart = (
  prompt: SharedParts,
  part: string,
  position: number,
): SharedParts => [
  ...prompt.slice(0, position),
  part,
  ...prompt.slice(position),
];

/**
 * Crashes by prompts with bad parts, one after the other; each target ends with a batch
 * of sound prompts, and answers half of the subjects between two crashes.
 */
const playCrashes = ({
  seed,
  badParts,
  batchSize,
  position,
  crashCount,
}: {
  readonly seed: number;
  readonly badParts: readonly string[];
  readonly batchSize: number;
  readonly position: number;
  readonly crashCount: number;
}) => {
  const random = createRandom(seed);
  const answers: Record<string, number> = { rules: 0 };
  const crashes = Array.from({ length: crashCount }, (_, i) => {
    const atMs = 1_000 * (i + 1);
    const badPart = badParts[i % badParts.length] ?? '';
    const batch = Array.from({ length: batchSize - 1 }, () =>
      createSoundPrompt(random),
    );
    batch.push(insertPart(createSoundPrompt(random), badPart, position));
    for (let subject = 0; subject < 12; subject += 1) {
      if (random() < 0.5) answers[`subject-${subject}`] = atMs + 500;
    }
    return createCrash(atMs, batch);
  });
  return { crashes, answers };
};

for (const batchSize of [1, 4, 16]) {
  for (const position of [0, 1, 3]) {
    test(`a part at position ${position} that ends targets with ${batchSize} requests is found by the fifth crash`, t => {
      for (let seed = 1; seed <= 30; seed += 1) {
        const play = { seed, badParts: ['bad'], batchSize, position };
        const { crashes, answers } = playCrashes({ ...play, crashCount: 5 });
        const [parts, ...others] = findParts(crashes, answers);
        t.true(parts?.includes('bad'), `seed ${seed}: ${String(parts)}`);
        t.false(parts?.includes('rules'));
        t.deepEqual(others, []);
      }
    });
  }
}

test('two bad parts at once are both found, and the part that all share is not', t => {
  for (let seed = 1; seed <= 30; seed += 1) {
    const { crashes, answers } = playCrashes({
      seed,
      badParts: ['bad-1', 'bad-2'],
      batchSize: 4,
      position: 1,
      crashCount: 8,
    });
    const parts = findParts(crashes, answers).flat();
    t.true(parts.includes('bad-1') && parts.includes('bad-2'));
    t.false(parts.includes('rules'));
  }
});

test('two bad parts that no answer preceded do not make the part suspect that all share', t => {
  const crashes = [1, 2, 3, 4, 5, 6].map(i =>
    createCrash(i * 1_000, [['rules', `bad-${i % 2}`, `own-${i}`]]),
  );
  t.deepEqual(findParts(crashes).sort(), [
    ['rules', 'bad-0'],
    ['rules', 'bad-1'],
  ]);
});

test('only prompts with all parts that came together are held to crash targets', t => {
  const crashes = [1, 2, 3].map(i =>
    createCrash(i * 1_000, [['rules', 'bad', `document-${i}`]]),
  );
  t.deepEqual(findParts(crashes), [['rules', 'bad']]);
  // An answer after the first crash shows that the common part is sound.
  t.deepEqual(findParts(crashes, { rules: 1_500 }), [['bad']]);
});

test('an answer after the crashes clears a part', t => {
  const crashes = [1, 2, 3, 4].map(i => createCrash(i * 1_000, [['part']]));
  t.deepEqual(findParts(crashes), [['part']]);
  t.deepEqual(findParts(crashes, { part: 4_100 }), []);
});

test('targets that lose their power together are one coincidence', t => {
  const crashes = [1_000, 1_010, 1_200].map(atMs =>
    createCrash(atMs, [['rules', 'subject']]),
  );
  t.deepEqual(findParts(crashes, { rules: 0 }), []);
  const later = createCrash(4_000, [['rules', 'subject']]);
  t.deepEqual(findParts([...crashes, later], { rules: 0 }), [['subject']]);
});

test('kills of targets do not make a part suspect that is answered in between', t => {
  const crashes = [1, 2, 3, 4, 5, 6].map(i =>
    createCrash(i * 1_000, [
      ['rules', `subject-${i % 3}`, `document-${i}`],
      ['rules', `subject-${(i + 1) % 3}`, `document-${10 + i}`],
    ]),
  );
  const answers = { rules: 5_500, 'subject-0': 4_500, 'subject-1': 4_900 };
  t.deepEqual(findParts(crashes, { ...answers, 'subject-2': 4_200 }), []);
});

test('a part that was answered before needs more crashes than a new one', t => {
  const crashes = [2, 3, 4, 5].map(i => createCrash(i * 1_000, [['part']]));
  t.deepEqual(findParts(crashes, { part: 1_000 }), []);
  const fifth = createCrash(6_000, [['part']]);
  const causes = findCrashCauses([...crashes, fifth], () => 1_000);
  t.deepEqual(
    causes.map(({ wasAnswered }) => wasAnswered),
    [true],
  );
});
