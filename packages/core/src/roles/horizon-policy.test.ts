/** Tests of the role changes that the horizon policy decides. */
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

/** Demand with more prefill than two mixed engines can serve. */
const heavyPrefillRates = { prefillRate: 14_000, decodeRate: 200 };

const createEngine = (
  name: string,
  role: EngineRole,
  overrides: Partial<EngineView> = {},
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
  ...overrides,
});

const createDemand = (overrides: Partial<DemandView> = {}): DemandView => ({
  dataCenter: 'a',
  ...heavyPrefillRates,
  requestRate: 5,
  ageMs: 500,
  ...overrides,
});

const createPolicy = (changeCost = 5) =>
  new HorizonPolicy({ engineSpeed, changeCost });

/**
 * Passes one fleet view per second to the policy for a minute and returns all
 * changes and the last decision.
 */
const decideAfterMinute = (
  policy: HorizonPolicy,
  engines: readonly EngineView[],
  createDemandAt: (second: number) => DemandView = () => createDemand(),
) => {
  const createView = (second: number): FleetView => ({
    nowMs: second * 1_000,
    engines,
    demand: [createDemandAt(second)],
  });
  const decisions = Array.from({ length: 60 }, (_, second) =>
    policy.decideChanges(createView(second)),
  );
  const changes = decisions.flatMap(decision => decision.changes);
  return { changes, last: decisions.at(-1) };
};

const twoMixedEngines = [
  createEngine('a1', 'mixed'),
  createEngine('a2', 'mixed'),
];

test('a lasting excess of prefill demand makes one of two mixed engines prefill', t => {
  const { last } = decideAfterMinute(createPolicy(), twoMixedEngines);
  t.is(last?.changes.length, 1);
  t.is(last?.changes[0]?.to, 'prefill');
  t.regex(last?.explanation ?? '', /answers gained in 300 s/);
});

test('no role changes until the samples cover all windows', t => {
  const policy = createPolicy();
  const decision = policy.decideChanges({
    nowMs: 0,
    engines: twoMixedEngines,
    demand: [createDemand()],
  });
  t.deepEqual(decision.changes, []);
  t.regex(decision.explanation, /demand samples do not cover all windows yet/);
});

test('no role changes while a load report or the demand is stale', t => {
  const staleEngines = twoMixedEngines.map(engine => ({
    ...engine,
    ageMs: 6_000,
  }));
  const withStaleReport = decideAfterMinute(createPolicy(), staleEngines);
  t.deepEqual(withStaleReport.changes, []);
  t.regex(
    withStaleReport.last?.explanation ?? '',
    /report of engine a1 is 6000 ms old/,
  );
  const withStaleDemand = decideAfterMinute(
    createPolicy(),
    twoMixedEngines,
    () => createDemand({ ageMs: 6_000 }),
  );
  t.deepEqual(withStaleDemand.changes, []);
});

test('engines keep their role for the minimum time', t => {
  const recentlyChanged = twoMixedEngines.map(engine => ({
    ...engine,
    inRoleMs: 60_000,
  }));
  const { changes, last } = decideAfterMinute(createPolicy(), recentlyChanged);
  t.deepEqual(changes, []);
  t.regex(last?.explanation ?? '', /minimum time in a role/);
});

test('only one engine per data centre changes its role at a time', t => {
  const engines = [
    ...twoMixedEngines,
    createEngine('a3', 'mixed', { available: false }),
  ];
  const { changes } = decideAfterMinute(createPolicy(), engines);
  t.deepEqual(changes, []);
});

test('an engine that can decode remains during a change', t => {
  const roleLists: readonly (readonly EngineRole[])[] = [
    ['mixed'],
    ['prefill', 'decode'],
    ['mixed', 'prefill'],
    ['mixed', 'decode'],
    ['prefill', 'prefill', 'mixed'],
  ];
  const heavyDecode = { prefillRate: 100, decodeRate: 4_000 };
  for (const roles of roleLists) {
    for (const rates of [heavyPrefillRates, heavyDecode]) {
      const engines = roles.map((role, i) => createEngine(`a${i}`, role));
      const createDemandAt = () => createDemand(rates);
      const policy = createPolicy(-1_000);
      const { changes } = decideAfterMinute(policy, engines, createDemandAt);
      for (const change of changes) {
        const remaining = engines.filter(
          engine => engine.name !== change.engine,
        );
        t.true(remaining.some(engine => engine.role !== 'prefill'));
      }
    }
  }
});

test('an engine becomes mixed at once when no engine can decode', t => {
  const engines = [createEngine('a1', 'prefill', { inRoleMs: 0 })];
  const decision = createPolicy().decideChanges({
    nowMs: 0,
    engines,
    demand: [createDemand()],
  });
  t.is(decision.changes[0]?.to, 'mixed');
});

test('a role changes only if the gain exceeds the change cost', t => {
  t.true(
    decideAfterMinute(createPolicy(5), twoMixedEngines).changes.length > 0,
  );
  t.deepEqual(
    decideAfterMinute(createPolicy(1e6), twoMixedEngines).changes,
    [],
  );
});

test('demand that alternates every 10 seconds changes no role', t => {
  const engines = [...twoMixedEngines, createEngine('a3', 'mixed')];
  const createSwingingDemand = (second: number) =>
    Math.floor(second / 10) % 2 === 0
      ? createDemand({ prefillRate: 25_000 })
      : createDemand({ prefillRate: 1_000, decodeRate: 1_000 });
  t.deepEqual(
    decideAfterMinute(createPolicy(), engines, createSwingingDemand).changes,
    [],
  );
});
