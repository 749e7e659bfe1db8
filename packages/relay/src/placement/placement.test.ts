import test from 'ava';

import {
  createPrompt,
  createEngine,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { TargetState } from '../targets/target-state.js';

import { checkAdmission } from './admission.js';
import { placePlainRequest, placeGeneration } from './placement.js';
import type { PlacementOptions } from './placement.js';
import { PrefillSpeed } from './prefill-speed.js';

const createOptions = (
  change: Partial<PlacementOptions>,
): PlacementOptions => ({
  targets: [],
  leavingTargets: [],
  prompt: createPrompt('own'),
  prefillSpeed: new PrefillSpeed(),
  slots: 8,
  transferMsPerToken: 0.0004,
  dataCenter: 'a',
  excluded: new Set(),
  unreached: new Set(),
  random: undefined,
  ...change,
});

/** Sends prompts one after the other without any being read meanwhile. */
const placeSequentially = (
  targets: readonly TargetState[],
  count: number,
  tokens: { readonly shared: number; readonly own: number },
) => {
  const placements = [];
  for (let i = 0; i < count; i += 1) {
    const prompt = createPrompt(`own-${i}`, tokens);
    const placement = placeGeneration(createOptions({ targets, prompt }));
    if (placement === undefined) continue;
    const reader = placement.prefillTarget ?? placement.decodeTarget;
    reader.startPrefill(prompt.segments, placement.prefillTokens);
    placement.decodeTarget.startRequest();
    placements.push(placement);
  }
  return placements;
};

test('a burst of long prompts spreads over the prefill engines', t => {
  const readers = ['p1', 'p2', 'p3'].map(id => createEngine(id, 'prefill'));
  const makers = ['d1', 'd2'].map(id => createEngine(id, 'decode'));
  placeSequentially([...readers, ...makers], 12, { shared: 9_000, own: 4_000 });
  const unread = readers.map(reader => reader.pendingPrefillTokens);
  t.true(Math.max(...unread) < 2 * Math.min(...unread), unread.join(' '));
});

test('decode engines never get more to read than their streams can bear', t => {
  const readers = [createEngine('p1', 'prefill')];
  const makers = ['d1', 'd2'].map(id => createEngine(id, 'decode'));
  placeSequentially([...readers, ...makers], 60, { shared: 300, own: 1_200 });
  const most = 120 * new PrefillSpeed().tokensPerMs * 0.5;
  for (const maker of makers) t.true(maker.pendingPrefillTokens <= most);
});

test('the more streams an engine has, the less it reads in place', t => {
  const reader = createEngine('p1', 'prefill');
  reader.startPrefill([], 2_000);
  const maker = createEngine('d1', 'decode');
  const prompt = createPrompt('own', { shared: 200, own: 400 });
  const place = () =>
    placeGeneration(createOptions({ targets: [reader, maker], prompt }));
  t.is(place()?.prefillTarget, undefined);
  for (let i = 0; i < 6; i += 1) maker.startRequest();
  t.is(place()?.prefillTarget, reader);
});

test('a prompt goes where its shared part is kept', t => {
  const readers = ['p1', 'p2', 'p3'].map(id => createEngine(id, 'prefill'));
  const maker = createEngine('d1', 'decode');
  const prompt = createPrompt('x', { shared: 13_000, own: 3_000 });
  const [, keeper] = readers;
  keeper?.prefixCache.addSegments(prompt.segments.slice(0, 1));
  const placement = placeGeneration(
    createOptions({ targets: [...readers, maker], prompt }),
  );
  t.is(placement?.prefillTarget, keeper);
  t.is(placement?.prefillTokens, 3_000);
  t.is(placement?.findCopySource, undefined);
});

test('a crowded keeper has its part copied instead of read again', t => {
  const readers = ['p1', 'p2'].map(id => createEngine(id, 'prefill'));
  const maker = createEngine('d1', 'decode');
  const prompt = createPrompt('x', { shared: 13_000, own: 3_000 });
  const [keeper, other] = readers as [TargetState, TargetState];
  keeper.prefixCache.addSegments(prompt.segments.slice(0, 1));
  keeper.startPrefill([], 60_000);
  const placement = placeGeneration(
    createOptions({ targets: [...readers, maker], prompt }),
  );
  t.is(placement?.prefillTarget, other);
  t.is(placement?.findCopySource, keeper);
  t.is(placement?.prefillTokens, 3_000);
});

test('an avoided engine is used only when there is no other', t => {
  const bad = createEngine('p1', 'prefill');
  bad.recordFailure(true);
  const good = createEngine('p2', 'prefill');
  const maker = createEngine('d1', 'decode');
  const prompt = createPrompt('x', { shared: 20_000, own: 9_000 });
  good.startPrefill([], 90_000);
  maker.startRequest();
  const both = placeGeneration(
    createOptions({ targets: [bad, good, maker], prompt }),
  );
  t.is(both?.prefillTarget, good);
  const alone = placeGeneration(createOptions({ targets: [bad], prompt }));
  t.is(alone, undefined);
});

test('an engine that changes its role gets nothing', t => {
  const reader = createEngine('p1', 'prefill');
  const maker = createEngine('d1', 'decode');
  reader.startRoleChange(5_000);
  const placement = placeGeneration(
    createOptions({ targets: [reader, maker] }),
  );
  t.is(placement?.prefillTarget, undefined);
  t.is(placement?.decodeTarget, maker);
});

test('a call goes to the least busy target of the data centre', t => {
  const near = new TargetState(createTargetRecord('n'), 0);
  const far = new TargetState(createTargetRecord('f', { dataCenter: 'b' }), 0);
  const place = () =>
    placePlainRequest({
      targets: [far, near],
      excluded: new Set(),
      unreached: new Set(),
      dataCenter: 'a',
    });
  t.is(place(), near);
  for (let i = 0; i < 3; i += 1) near.startRequest();
  t.is(place(), far);
});

test('a generation is refused once its first event would come too late', t => {
  t.is(
    checkAdmission({ expectedFirstEventMs: 500, remainingMs: 3_000 }),
    undefined,
  );
  const refusal = checkAdmission({
    expectedFirstEventMs: 4_000,
    remainingMs: 3_000,
  });
  t.true((refusal?.retryAfterMs ?? 0) > 0);
});

test('a data centre out of reach gets nothing while another is in reach', t => {
  const near = new TargetState(createTargetRecord('n'), 0);
  const far = new TargetState(createTargetRecord('f', { dataCenter: 'b' }), 0);
  for (let i = 0; i < 3; i += 1) near.startRequest();
  const place = (targets: readonly TargetState[]) =>
    placePlainRequest({
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
    createEngine('p1', 'prefill'),
    createEngine('p2', 'prefill'),
  ];
  const maker = createEngine('d1', 'decode');
  maker.startRequest();
  const prompt = createPrompt('x', { shared: 13_000, own: 3_000 });
  first.startPrefill(prompt.segments.slice(0, 1), 60_000, 2_400);
  const placement = placeGeneration(
    createOptions({ targets: [first, second, maker], prompt }),
  );
  t.is(placement?.prefillTarget, second);
  t.is(placement?.findCopySource, undefined);
  t.is(placement?.prefillTokens, 16_000);
});

test('what a leaving engine keeps is copied instead of read again', t => {
  const gone = createEngine('p1', 'prefill');
  const targets = [createEngine('p2', 'prefill'), createEngine('d1', 'decode')];
  const prompt = createPrompt('own', { shared: 20_000, own: 500 });
  gone.prefixCache.addSegments(prompt.segments.slice(0, 1));
  const without = placeGeneration(createOptions({ targets, prompt }));
  t.is(without?.prefillTokens, 20_500);
  const placement = placeGeneration(
    createOptions({ targets, prompt, leavingTargets: [gone] }),
  );
  t.is(placement?.findCopySource, gone);
  t.is(placement?.prefillTokens, 500);
  t.is(placement?.prefillTarget?.record.id, 'p2');
});
