import test from 'ava';

import type { EngineSpeed } from '../routing/cost-model.js';
import type { EngineRole } from '../target/target.js';

import { HorizonPolicy } from './horizon-policy.js';
import type { DemandView, EngineView, FleetView } from './role-policy.js';

const engineSpeed: EngineSpeed = {
  prefill_tokens_per_second: 9_000,
  decode_step_ms: 18,
  decode_step_request_ms: 0.5,
  handover_ms_per_token: 0.02,
  cross_center_ms: 10,
};

/** More prefill than two mixed engines can take. */
const heavyPrefillRates = { prefillRate: 14_000, decodeRate: 200 };

const createEngine = (
  name: string,
  role: EngineRole,
  changes: Partial<EngineView> = {},
): EngineView => ({
  name,
  dataCenter: 'a',
  role,
  available: true,
  ageMs: 1_500,
  prefillTokens: 0,
  running: 4,
  slots: 64,
  inRoleMs: 600_000,
  ...changes,
});

const createDemand = (changes: Partial<DemandView> = {}): DemandView => ({
  dataCenter: 'a',
  ...heavyPrefillRates,
  requestRate: 5,
  ageMs: 500,
  ...changes,
});

const createPolicy = (changeCost = 5) =>
  new HorizonPolicy({ engineSpeed, changeCost });

/** Feeds one picture a second for a minute and returns the last decision. */
const decideAfterMinute = (
  policy: HorizonPolicy,
  engines: readonly EngineView[],
  demandAt: (second: number) => DemandView = () => createDemand(),
) => {
  const view = (second: number): FleetView => ({
    nowMs: second * 1_000,
    engines,
    demand: [demandAt(second)],
  });
  const decisions = Array.from({ length: 60 }, (_, second) =>
    policy.decideChanges(view(second)),
  );
  const changes = decisions.flatMap(decision => decision.changes);
  return { changes, last: decisions.at(-1) };
};

const twoMixedEngines = [
  createEngine('a1', 'mixed'),
  createEngine('a2', 'mixed'),
];

test('a lasting excess of prefill makes one of two engines prefill', t => {
  const { last } = decideAfterMinute(createPolicy(), twoMixedEngines);
  t.is(last?.changes.length, 1);
  t.is(last?.changes[0]?.to, 'prefill');
  t.regex(last?.explanation ?? '', /answers gained in 300 s/);
});

test('nothing is decided before the longest window is covered', t => {
  const policy = createPolicy();
  const decision = policy.decideChanges({
    nowMs: 0,
    engines: twoMixedEngines,
    demand: [createDemand()],
  });
  t.deepEqual(decision.changes, []);
  t.regex(decision.explanation, /not been seen for long enough/);
});

test('a stale report or a stale demand holds every change', t => {
  const staleEngines = twoMixedEngines.map(e => ({ ...e, ageMs: 6_000 }));
  const byReport = decideAfterMinute(createPolicy(), staleEngines);
  t.deepEqual(byReport.changes, []);
  t.regex(byReport.last?.explanation ?? '', /report of a1 is 6000 ms old/);
  const byDemand = decideAfterMinute(createPolicy(), twoMixedEngines, () =>
    createDemand({ ageMs: 6_000 }),
  );
  t.deepEqual(byDemand.changes, []);
});

test('engines that changed lately keep their role', t => {
  const recent = twoMixedEngines.map(e => ({ ...e, inRoleMs: 60_000 }));
  const { changes, last } = decideAfterMinute(createPolicy(), recent);
  t.deepEqual(changes, []);
  t.regex(last?.explanation ?? '', /dwell/);
});

test('one engine at a time leaves its role in a data centre', t => {
  const engines = [
    ...twoMixedEngines,
    createEngine('a3', 'mixed', { available: false }),
  ];
  const { changes } = decideAfterMinute(createPolicy(), engines);
  t.deepEqual(changes, []);
});

test('an engine that decodes is left for the time of a change', t => {
  const pools: readonly (readonly EngineRole[])[] = [
    ['mixed'],
    ['prefill', 'decode'],
    ['mixed', 'prefill'],
    ['mixed', 'decode'],
    ['prefill', 'prefill', 'mixed'],
  ];
  const heavyDecode = { prefillRate: 100, decodeRate: 4_000 };
  for (const pool of pools) {
    for (const rates of [heavyPrefillRates, heavyDecode]) {
      const engines = pool.map((role, i) => createEngine(`a${i}`, role));
      const demandAt = () => createDemand(rates);
      const policy = createPolicy(-1_000);
      const { changes } = decideAfterMinute(policy, engines, demandAt);
      for (const change of changes) {
        const left = engines.filter(each => each.name !== change.engine);
        t.true(left.some(each => each.role !== 'prefill'));
      }
    }
  }
});

test('a role without any engine is restored at once', t => {
  const engines = [createEngine('a1', 'prefill', { inRoleMs: 0 })];
  const decision = createPolicy().decideChanges({
    nowMs: 0,
    engines,
    demand: [createDemand()],
  });
  t.is(decision.changes[0]?.to, 'mixed');
});

test('the cost of a change is weighed against its gain', t => {
  t.true(
    decideAfterMinute(createPolicy(5), twoMixedEngines).changes.length > 0,
  );
  t.deepEqual(
    decideAfterMinute(createPolicy(1e6), twoMixedEngines).changes,
    [],
  );
});

test('a mix that swings within the long window changes nothing', t => {
  const engines = [...twoMixedEngines, createEngine('a3', 'mixed')];
  const swing = (second: number) =>
    Math.floor(second / 10) % 2 === 0
      ? createDemand({ prefillRate: 25_000 })
      : createDemand({ prefillRate: 1_000, decodeRate: 1_000 });
  t.deepEqual(decideAfterMinute(createPolicy(), engines, swing).changes, []);
});
