import test from 'ava';

import { aPrompt, anEngine, aTarget } from '../fixtures/relay-fixtures.js';
import { TargetState } from '../targets/target-state.js';

import { admission } from './admission.js';
import { placeCall, placeGeneration } from './placement.js';
import type { PlacementOptions } from './placement.js';
import { ReadingSpeed } from './prefill-speed.js';

const options = (change: Partial<PlacementOptions>): PlacementOptions => ({
  targets: [],
  leaving: [],
  prompt: aPrompt('own'),
  speed: new ReadingSpeed(),
  slots: 8,
  transferMsPerToken: 0.0004,
  dataCenter: 'a',
  excluded: new Set(),
  unreached: new Set(),
  random: undefined,
  ...change,
});

/** Sends prompts one after the other without any being read meanwhile. */
const replay = (
  targets: readonly TargetState[],
  count: number,
  tokens: { readonly shared: number; readonly own: number },
) => {
  const placements = [];
  for (let i = 0; i < count; i += 1) {
    const prompt = aPrompt(`own-${i}`, tokens);
    const placement = placeGeneration(options({ targets, prompt }));
    if (placement === undefined) continue;
    const reader = placement.prefill ?? placement.decode;
    reader.startReading(prompt.parts, placement.tokens);
    placement.decode.enter();
    placements.push(placement);
  }
  return placements;
};

test('a burst of long prompts spreads over the prefill engines', t => {
  const readers = ['p1', 'p2', 'p3'].map(id => anEngine(id, 'prefill'));
  const makers = ['d1', 'd2'].map(id => anEngine(id, 'decode'));
  replay([...readers, ...makers], 12, { shared: 9_000, own: 4_000 });
  const unread = readers.map(reader => reader.unreadTokens);
  t.true(Math.max(...unread) < 2 * Math.min(...unread), unread.join(' '));
});

test('decode engines never get more to read than their streams can bear', t => {
  const readers = [anEngine('p1', 'prefill')];
  const makers = ['d1', 'd2'].map(id => anEngine(id, 'decode'));
  replay([...readers, ...makers], 60, { shared: 300, own: 1_200 });
  const most = 120 * new ReadingSpeed().tokensPerMs * 0.5;
  for (const maker of makers) t.true(maker.unreadTokens <= most);
});

test('the more streams an engine has, the less it reads in place', t => {
  const reader = anEngine('p1', 'prefill');
  reader.startReading([], 2_000);
  const maker = anEngine('d1', 'decode');
  const prompt = aPrompt('own', { shared: 200, own: 400 });
  const place = () =>
    placeGeneration(options({ targets: [reader, maker], prompt }));
  t.is(place()?.prefill, undefined);
  for (let i = 0; i < 6; i += 1) maker.enter();
  t.is(place()?.prefill, reader);
});

test('a prompt goes where its shared part is kept', t => {
  const readers = ['p1', 'p2', 'p3'].map(id => anEngine(id, 'prefill'));
  const maker = anEngine('d1', 'decode');
  const prompt = aPrompt('x', { shared: 13_000, own: 3_000 });
  const [, keeper] = readers;
  keeper?.cache.add(prompt.parts.slice(0, 1));
  const placement = placeGeneration(
    options({ targets: [...readers, maker], prompt }),
  );
  t.is(placement?.prefill, keeper);
  t.is(placement?.tokens, 3_000);
  t.is(placement?.copyFrom, undefined);
});

test('a crowded keeper has its part copied instead of read again', t => {
  const readers = ['p1', 'p2'].map(id => anEngine(id, 'prefill'));
  const maker = anEngine('d1', 'decode');
  const prompt = aPrompt('x', { shared: 13_000, own: 3_000 });
  const [keeper, other] = readers as [TargetState, TargetState];
  keeper.cache.add(prompt.parts.slice(0, 1));
  keeper.startReading([], 60_000);
  const placement = placeGeneration(
    options({ targets: [...readers, maker], prompt }),
  );
  t.is(placement?.prefill, other);
  t.is(placement?.copyFrom, keeper);
  t.is(placement?.tokens, 3_000);
});

test('an avoided engine is used only when there is no other', t => {
  const bad = anEngine('p1', 'prefill');
  bad.failed(true);
  const good = anEngine('p2', 'prefill');
  const maker = anEngine('d1', 'decode');
  const prompt = aPrompt('x', { shared: 20_000, own: 9_000 });
  good.startReading([], 90_000);
  maker.enter();
  const both = placeGeneration(
    options({ targets: [bad, good, maker], prompt }),
  );
  t.is(both?.prefill, good);
  const alone = placeGeneration(options({ targets: [bad], prompt }));
  t.is(alone, undefined);
});

test('an engine that changes its role gets nothing', t => {
  const reader = anEngine('p1', 'prefill');
  const maker = anEngine('d1', 'decode');
  reader.closeFor(5_000);
  const placement = placeGeneration(options({ targets: [reader, maker] }));
  t.is(placement?.prefill, undefined);
  t.is(placement?.decode, maker);
});

test('a call goes to the least busy target of the data centre', t => {
  const near = new TargetState(aTarget('n'), 0);
  const far = new TargetState(aTarget('f', { dataCenter: 'b' }), 0);
  const place = () =>
    placeCall({
      targets: [far, near],
      excluded: new Set(),
      unreached: new Set(),
      dataCenter: 'a',
    });
  t.is(place(), near);
  for (let i = 0; i < 3; i += 1) near.enter();
  t.is(place(), far);
});

test('a generation is refused once its first event would come too late', t => {
  t.is(admission({ firstEventMs: 500, leftMs: 3_000 }), undefined);
  const refusal = admission({
    firstEventMs: 4_000,
    leftMs: 3_000,
  });
  t.true((refusal?.retryAfterMs ?? 0) > 0);
});

test('a data centre out of reach gets nothing while another is in reach', t => {
  const near = new TargetState(aTarget('n'), 0);
  const far = new TargetState(aTarget('f', { dataCenter: 'b' }), 0);
  for (let i = 0; i < 3; i += 1) near.enter();
  const place = (targets: readonly TargetState[]) =>
    placeCall({
      targets,
      excluded: new Set(),
      unreached: new Set(['b']),
      dataCenter: 'a',
    });
  t.is(place([near, far]), near);
  t.is(place([far]), far);
});

test('a part that is still being read is not copied from there', t => {
  const [first, second] = [
    anEngine('p1', 'prefill'),
    anEngine('p2', 'prefill'),
  ];
  const maker = anEngine('d1', 'decode');
  maker.enter();
  const prompt = aPrompt('x', { shared: 13_000, own: 3_000 });
  first.startReading(prompt.parts.slice(0, 1), 60_000, 2_400);
  const placement = placeGeneration(
    options({ targets: [first, second, maker], prompt }),
  );
  t.is(placement?.prefill, second);
  t.is(placement?.copyFrom, undefined);
  t.is(placement?.tokens, 16_000);
});

test('what a leaving engine keeps is copied instead of read again', t => {
  const gone = anEngine('p1', 'prefill');
  const targets = [anEngine('p2', 'prefill'), anEngine('d1', 'decode')];
  const prompt = aPrompt('own', { shared: 20_000, own: 500 });
  gone.cache.add(prompt.parts.slice(0, 1));
  const without = placeGeneration(options({ targets, prompt }));
  t.is(without?.tokens, 20_500);
  const placement = placeGeneration(
    options({ targets, prompt, leaving: [gone] }),
  );
  t.is(placement?.copyFrom, gone);
  t.is(placement?.tokens, 500);
  t.is(placement?.prefill?.record.id, 'p2');
});
