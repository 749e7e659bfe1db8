import test from 'ava';

import {
  createPrompt,
  createEngine,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { TargetState } from '../targets/target-state.js';

import { checkAdmission } from './admission.js';
import { selectPlainTarget } from './plain-target.js';
import { chooseDecodeTarget, placeGeneration } from './placement.js';
import type { PlacementOptions } from './placement-options.js';
import { PrefillSpeed } from './prefill-speed.js';

const createOptions = (
  overrides: Partial<PlacementOptions>,
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
  origin: undefined,
  random: undefined,
  ...overrides,
});

/** Places prompts one after the other; none of the prefills completes. */
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
    const prefillEngine = placement.prefillTarget ?? placement.decodeTarget;
    prefillEngine.startPrefill(prompt.segments, placement.prefillTokens);
    placement.decodeTarget.startRequest();
    placements.push(placement);
  }
  return placements;
};

test('a burst of long prompts spreads over the prefill engines', t => {
  const prefillEngines = ['p1', 'p2', 'p3'].map(id =>
    createEngine(id, 'prefill'),
  );
  const decodeEngines = ['d1', 'd2'].map(id => createEngine(id, 'decode'));
  placeSequentially([...prefillEngines, ...decodeEngines], 12, {
    shared: 9_000,
    own: 4_000,
  });
  const pendingTokens = prefillEngines.map(
    prefillEngine => prefillEngine.pendingPrefillTokens,
  );
  t.true(
    Math.max(...pendingTokens) < 2 * Math.min(...pendingTokens),
    pendingTokens.join(' '),
  );
});

test('the prefill queue of decode engines is bounded by the colocated limit', t => {
  const prefillEngines = [createEngine('p1', 'prefill')];
  const decodeEngines = ['d1', 'd2'].map(id => createEngine(id, 'decode'));
  placeSequentially([...prefillEngines, ...decodeEngines], 60, {
    shared: 300,
    own: 1_200,
  });
  const maxPendingTokens = 120 * new PrefillSpeed().tokensPerMs * 0.5;
  for (const decodeEngine of decodeEngines)
    t.true(decodeEngine.pendingPrefillTokens <= maxPendingTokens);
});

test('a decode engine with running requests leaves the prefill to another', t => {
  const prefillEngine = createEngine('p1', 'prefill');
  prefillEngine.startPrefill([], 2_000);
  const decodeEngine = createEngine('d1', 'decode');
  const prompt = createPrompt('own', { shared: 200, own: 400 });
  const place = () =>
    placeGeneration(
      createOptions({ targets: [prefillEngine, decodeEngine], prompt }),
    );
  t.is(place()?.prefillTarget, undefined);
  for (let i = 0; i < 6; i += 1) decodeEngine.startRequest();
  t.is(place()?.prefillTarget, prefillEngine);
});

test('a prompt is placed at the engine that has its shared segment cached', t => {
  const prefillEngines = ['p1', 'p2', 'p3'].map(id =>
    createEngine(id, 'prefill'),
  );
  const decodeEngine = createEngine('d1', 'decode');
  const prompt = createPrompt('x', { shared: 13_000, own: 3_000 });
  const [, cachingEngine] = prefillEngines;
  cachingEngine?.prefixCache.addSegments(prompt.segments.slice(0, 1));
  const placement = placeGeneration(
    createOptions({ targets: [...prefillEngines, decodeEngine], prompt }),
  );
  t.is(placement?.prefillTarget, cachingEngine);
  t.is(placement?.prefillTokens, 3_000);
  t.is(placement?.copySource, undefined);
});

test('a segment cached at a busy engine is copied instead of recomputed', t => {
  const prefillEngines = ['p1', 'p2'].map(id => createEngine(id, 'prefill'));
  const decodeEngine = createEngine('d1', 'decode');
  const prompt = createPrompt('x', { shared: 13_000, own: 3_000 });
  const [cachingEngine, idleEngine] = prefillEngines as [
    TargetState,
    TargetState,
  ];
  cachingEngine.prefixCache.addSegments(prompt.segments.slice(0, 1));
  cachingEngine.startPrefill([], 60_000);
  const placement = placeGeneration(
    createOptions({ targets: [...prefillEngines, decodeEngine], prompt }),
  );
  t.is(placement?.prefillTarget, idleEngine);
  t.is(placement?.copySource, cachingEngine);
  t.is(placement?.prefillTokens, 3_000);
});

test('an avoided prefill engine is not used while another is available', t => {
  const failedEngine = createEngine('p1', 'prefill');
  failedEngine.recordFailure(true);
  const healthyEngine = createEngine('p2', 'prefill');
  const decodeEngine = createEngine('d1', 'decode');
  const prompt = createPrompt('x', { shared: 20_000, own: 9_000 });
  healthyEngine.startPrefill([], 90_000);
  decodeEngine.startRequest();
  const placementWithHealthy = placeGeneration(
    createOptions({
      targets: [failedEngine, healthyEngine, decodeEngine],
      prompt,
    }),
  );
  t.is(placementWithHealthy?.prefillTarget, healthyEngine);
  const placementWithoutDecode = placeGeneration(
    createOptions({ targets: [failedEngine], prompt }),
  );
  t.is(placementWithoutDecode, undefined);
});

test('an engine that changes its role gets no requests', t => {
  const prefillEngine = createEngine('p1', 'prefill');
  const decodeEngine = createEngine('d1', 'decode');
  prefillEngine.startRoleChange(5_000);
  const placement = placeGeneration(
    createOptions({ targets: [prefillEngine, decodeEngine] }),
  );
  t.is(placement?.prefillTarget, undefined);
  t.is(placement?.decodeTarget, decodeEngine);
});

test('a plain request goes to a local target until that is much busier', t => {
  const localTarget = new TargetState(createTargetRecord('n'), () => 0);
  const remoteTarget = new TargetState(
    createTargetRecord('f', { dataCenter: 'b' }),
    () => 0,
  );
  const place = () =>
    selectPlainTarget({
      targets: [remoteTarget, localTarget],
      excluded: new Set(),
      unreached: new Set(),
      origin: undefined,
      dataCenter: 'a',
    });
  t.is(place(), localTarget);
  for (let i = 0; i < 3; i += 1) localTarget.startRequest();
  t.is(place(), remoteTarget);
});

test('a generation is rejected when its first event would be too late', t => {
  t.is(
    checkAdmission({ expectedFirstEventMs: 500, remainingMs: 3_000 }),
    undefined,
  );
  const rejection = checkAdmission({
    expectedFirstEventMs: 4_000,
    remainingMs: 3_000,
  });
  t.true((rejection?.retryAfterMs ?? 0) > 0);
});

test('an unreachable data centre is used only when there is no other', t => {
  const localTarget = new TargetState(createTargetRecord('n'), () => 0);
  const remoteTarget = new TargetState(
    createTargetRecord('f', { dataCenter: 'b' }),
    () => 0,
  );
  for (let i = 0; i < 3; i += 1) localTarget.startRequest();
  const place = (targets: readonly TargetState[]) =>
    selectPlainTarget({
      targets,
      excluded: new Set(),
      unreached: new Set(['b']),
      origin: undefined,
      dataCenter: 'a',
    });
  t.is(place([localTarget, remoteTarget]), localTarget);
  t.is(place([remoteTarget]), remoteTarget);
});

test('a segment whose prefill is still running is not copied', t => {
  const [prefillingEngine, idleEngine] = [
    createEngine('p1', 'prefill'),
    createEngine('p2', 'prefill'),
  ];
  const decodeEngine = createEngine('d1', 'decode');
  decodeEngine.startRequest();
  const prompt = createPrompt('x', { shared: 13_000, own: 3_000 });
  prefillingEngine.startPrefill(prompt.segments.slice(0, 1), 60_000, 2_400);
  const placement = placeGeneration(
    createOptions({
      targets: [prefillingEngine, idleEngine, decodeEngine],
      prompt,
    }),
  );
  t.is(placement?.prefillTarget, idleEngine);
  t.is(placement?.copySource, undefined);
  t.is(placement?.prefillTokens, 16_000);
});

test('segments cached at a leaving engine are copied, not recomputed', t => {
  const leavingEngine = createEngine('p1', 'prefill');
  const targets = [createEngine('p2', 'prefill'), createEngine('d1', 'decode')];
  const prompt = createPrompt('own', { shared: 20_000, own: 500 });
  leavingEngine.prefixCache.addSegments(prompt.segments.slice(0, 1));
  const placementWithoutCopy = placeGeneration(
    createOptions({ targets, prompt }),
  );
  t.is(placementWithoutCopy?.prefillTokens, 20_500);
  const placement = placeGeneration(
    createOptions({ targets, prompt, leavingTargets: [leavingEngine] }),
  );
  t.is(placement?.copySource, leavingEngine);
  t.is(placement?.prefillTokens, 500);
  t.is(placement?.prefillTarget?.record.id, 'p2');
});

test('a stream that goes on is decoded at the version that began it, however busy', t => {
  const old = createEngine('d1', 'decode', { softwareVersion: 'v1' });
  const others = [
    createEngine('d2', 'decode', { softwareVersion: 'v2' }),
    createEngine('d3', 'decode'),
    createEngine('p1', 'prefill', { softwareVersion: 'v2' }),
  ];
  for (let i = 0; i < 20; i += 1) old.startRequest();
  const options = createOptions({ targets: [old, ...others] });
  const origin = { service: 'engines', softwareVersion: 'v1' };
  t.not(placeGeneration(options)?.decodeTarget, old);
  t.is(placeGeneration({ ...options, origin })?.decodeTarget, old);
  t.is(chooseDecodeTarget({ ...options, origin }), old);
  const gone = { service: 'engines', softwareVersion: 'v0' };
  t.is(placeGeneration({ ...options, origin: gone }), undefined);
});

test('a stream of a plain service goes on at the version that began it', t => {
  const targets = ['v1', 'v2'].map(
    softwareVersion =>
      new TargetState(
        createTargetRecord(softwareVersion, { softwareVersion }),
        () => 0,
      ),
  );
  targets[0]?.startRequest();
  const origin = { service: 'api', softwareVersion: 'v1' };
  const target = selectPlainTarget({
    targets,
    excluded: new Set(),
    unreached: new Set(),
    origin,
    dataCenter: 'a',
  });
  t.is(target, targets[0]);
});

test('nothing is copied from an engine whose limit leaves no request', t => {
  const source = createEngine('p1', 'prefill');
  const prompt = createPrompt('own', { shared: 20_000, own: 100 });
  source.prefixCache.addSegments(prompt.segments);
  const options = createOptions({
    prompt,
    targets: [createEngine('d1', 'decode')],
    leavingTargets: [source],
  });
  t.is(placeGeneration(options)?.copySource, source);
  source.limiter.statement.recordLimit(1, performance.now());
  t.is(placeGeneration(options)?.copySource, undefined);
});

test('of targets that are loaded alike, one with an idle connection is chosen', t => {
  const targets = ['t1', 't2', 't3'].map(
    id => new TargetState(createTargetRecord(id), () => 1_000),
  );
  const isConnected = ({ record }: TargetState) => record.id === 't2';
  const choose = () =>
    selectPlainTarget({ ...createOptions({ targets }), isConnected })?.record
      .id;
  t.is(choose(), 't2');
  targets[1]?.startRequest();
  t.is(choose(), 't1', 'a request more costs more than a new connection');
  const engines = ['d1', 'd2', 'd3'].map(id => createEngine(id, 'decode'));
  const chosen = chooseDecodeTarget({
    ...createOptions({ targets: engines }),
    isConnected: ({ record }) => record.id === 'd3',
  });
  t.is(chosen?.record.id, 'd3');
});
