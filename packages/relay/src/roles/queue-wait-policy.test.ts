import test from 'ava';
import type { EngineView } from '@medlarlever/core';

import { QueueWaitPolicy } from './queue-wait-policy.js';

const createEngineView = (
  name: string,
  role: 'prefill' | 'decode',
  overrides: Partial<EngineView> = {},
): EngineView => ({
  name,
  dataCenter: 'a',
  role,
  available: true,
  ageMs: 0,
  prefillTokens: 0,
  running: 0,
  slots: 10,
  inRoleMs: 0,
  ...overrides,
});

const setUp = (latencyTargetMs = 1_500) => {
  const policy = new QueueWaitPolicy({
    getPrefillTokensPerMs: () => 40,
    getLatencyTargetMs: () => latencyTargetMs,
    minChangeIntervalMs: 4_000,
  });
  let nowMs = 0;
  /**
   * Passes the same fleet view to the policy every 500 ms for `durationMs`
   * milliseconds and returns all role changes.
   */
  const runPolicy = (
    engines: readonly EngineView[],
    durationMs: number,
    prefillRate = 0,
  ) => {
    const demand = {
      dataCenter: 'a',
      prefillRate,
      decodeRate: 0,
      requestRate: 0,
      ageMs: 0,
    };
    const changes = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
      nowMs += 500;
      changes.push(
        ...policy.decideChanges({ nowMs, engines, demand: [demand] }).changes,
      );
    }
    return changes;
  };
  return { runPolicy };
};

const withLongQueue = { prefillTokens: 40_000 };

test('a sustained prefill wait moves the least loaded decode engine to prefill', t => {
  const { runPolicy } = setUp();
  const engines = [
    createEngineView('p1', 'prefill', withLongQueue),
    createEngineView('d1', 'decode', { running: 3 }),
    createEngineView('d2', 'decode', { running: 1 }),
    createEngineView('d3', 'decode', { running: 2 }),
  ];
  const changes = runPolicy(engines, 4_000);
  t.deepEqual(
    changes.map(change => [change.engine, change.to]),
    [['d2', 'prefill']],
  );
});

test('two role changes are at least minChangeIntervalMs apart', t => {
  const { runPolicy } = setUp();
  const engines = [
    createEngineView('p1', 'prefill', withLongQueue),
    ...['d1', 'd2', 'd3', 'd4'].map(name => createEngineView(name, 'decode')),
  ];
  t.is(runPolicy(engines, 9_000).length, 2);
});

test('short alternating load peaks cause no role change', t => {
  const { runPolicy } = setUp();
  const lowLoad = [
    createEngineView('p1', 'prefill', { prefillTokens: 2_000 }),
    createEngineView('d1', 'decode', { running: 3 }),
    createEngineView('d2', 'decode', { running: 3 }),
  ];
  const highLoad = [
    createEngineView('p1', 'prefill', { prefillTokens: 7_000 }),
    ...lowLoad.slice(1),
  ];
  let changes = 0;
  for (let i = 0; i < 10; i += 1) {
    changes +=
      runPolicy(lowLoad, 2_000).length + runPolicy(highLoad, 500).length;
  }
  t.is(changes, 0);
});

test('the last decode engine and heavily loaded decode engines keep their role', t => {
  const withOneDecodeEngine = [
    createEngineView('p1', 'prefill', withLongQueue),
    createEngineView('d1', 'decode'),
  ];
  t.is(setUp().runPolicy(withOneDecodeEngine, 5_000).length, 0);
  const withBusyDecodeEngines = [
    createEngineView('p1', 'prefill', withLongQueue),
    createEngineView('d1', 'decode', { running: 5 }),
    createEngineView('d2', 'decode', { running: 5 }),
  ];
  t.is(setUp().runPolicy(withBusyDecodeEngines, 5_000).length, 0);
});

test('an idle prefill engine moves to decode when decode slots are mostly in use', t => {
  const engines = [
    createEngineView('p1', 'prefill'),
    createEngineView('p2', 'prefill'),
    createEngineView('d1', 'decode', { running: 9 }),
  ];
  const [change] = setUp().runPolicy(engines, 3_000);
  t.is(change?.to, 'decode');
});

test('a high prompt token rate moves engines to prefill before queues grow', t => {
  const engines = [
    createEngineView('p1', 'prefill'),
    ...['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd8', 'd9'].map(name =>
      createEngineView(name, 'decode', { running: 1 }),
    ),
  ];
  const changes = setUp().runPolicy(engines, 2_000, 100_000);
  t.is(changes.length, 2);
  t.true(changes.every(({ to }) => to === 'prefill'));
});

test('each data centre keeps at least one decode engine', t => {
  const engines = [
    createEngineView('p1', 'prefill', { ...withLongQueue, dataCenter: 'b' }),
    createEngineView('d1', 'decode', { dataCenter: 'a' }),
    createEngineView('d2', 'decode', { dataCenter: 'b' }),
    createEngineView('d3', 'decode', { dataCenter: 'c', running: 1 }),
    createEngineView('d4', 'decode', { dataCenter: 'c', running: 2 }),
  ];
  const changes = setUp().runPolicy(engines, 3_000);
  t.deepEqual(
    changes.map(change => change.engine),
    ['d3'],
  );
});

test('a data centre without a decode engine gets one of its prefill engines', t => {
  const engines = [
    createEngineView('p1', 'prefill', { dataCenter: 'a' }),
    createEngineView('p2', 'prefill', { dataCenter: 'a', prefillTokens: 900 }),
    createEngineView('p3', 'prefill', { dataCenter: 'b' }),
    createEngineView('d1', 'decode', { dataCenter: 'b' }),
  ];
  const [change] = setUp().runPolicy(engines, 2_000);
  t.like(change, { engine: 'p1', to: 'decode' });
});

test('without any decode engine the next decision moves an engine at once', t => {
  const { runPolicy } = setUp();
  const engines = [
    createEngineView('p1', 'prefill'),
    createEngineView('d1', 'decode'),
  ];
  runPolicy(engines, 2_000);
  const [change] = runPolicy(engines.slice(0, 1), 500);
  t.like(change, { engine: 'p1', to: 'decode' });
});

test('prompts of varying length need more prefill engines than the mean rate fills', t => {
  const { runPolicy } = setUp();
  // 40 tokens a millisecond and engine: two engines would be busy 83% of the time.
  const prefillRate = 66_000;
  const engines = [
    ...['p1', 'p2'].map(name => createEngineView(name, 'prefill')),
    ...['d1', 'd2', 'd3'].map(name =>
      createEngineView(name, 'decode', { running: 2 }),
    ),
  ];
  const changes = runPolicy(engines, 3_000, prefillRate);
  t.deepEqual(
    changes.map(({ to }) => to),
    ['prefill'],
  );
});

test('a wait that is short for long latency targets is long for short ones', t => {
  const engines = [
    createEngineView('p1', 'prefill', { prefillTokens: 4_000 }),
    createEngineView('d1', 'decode'),
    createEngineView('d2', 'decode'),
  ];
  const countChanges = (latencyTargetMs: number) => {
    const { runPolicy } = setUp(latencyTargetMs);
    return runPolicy(engines, 4_000).length;
  };
  t.is(countChanges(1_500), 0);
  t.is(countChanges(600), 1);
});

test('a reserve of decode engines is kept for the next burst, until bursts have long been over', t => {
  const { runPolicy } = setUp(600);
  const createFleet = (running: number) => [
    createEngineView('p1', 'prefill', { prefillTokens: 4_000 }),
    createEngineView('p2', 'prefill', { prefillTokens: 4_000 }),
    ...['d1', 'd2'].map(name => createEngineView(name, 'decode', { running })),
  ];
  t.is(runPolicy(createFleet(6), 2_000).length, 0);
  t.is(runPolicy(createFleet(1), 4_000).length, 0);
  t.true(runPolicy(createFleet(1), 20_000).length > 0);
});

test('an engine moves to decode when departures leave less than the reserve, although prompts wait', t => {
  const { runPolicy } = setUp(600);
  const createFleet = (decodeNames: readonly string[]) => [
    ...['p1', 'p2', 'p3', 'p4'].map(name =>
      createEngineView(name, 'prefill', { prefillTokens: 6_000 }),
    ),
    ...decodeNames.map(name =>
      createEngineView(name, 'decode', { running: 5 }),
    ),
  ];
  t.is(runPolicy(createFleet(['d1', 'd2', 'd3', 'd4']), 3_000).length, 0);
  const changes = runPolicy(createFleet(['d1', 'd2']), 3_000);
  t.deepEqual(
    changes.map(({ to }) => to),
    ['decode'],
  );
});

const limited = { capacityShare: 0.3 };

test('a limited prefill engine replaces the decode engine of its data centre, which then prefills', t => {
  const { runPolicy } = setUp();
  const before = [
    createEngineView('p1', 'prefill', { ...withLongQueue, dataCenter: 'a' }),
    createEngineView('d1', 'decode', { dataCenter: 'a' }),
    createEngineView('p2', 'prefill', { ...limited, dataCenter: 'b' }),
    createEngineView('d2', 'decode', { dataCenter: 'b' }),
    createEngineView('p3', 'prefill', { ...limited, dataCenter: 'c' }),
    createEngineView('d3', 'decode', { dataCenter: 'c' }),
  ];
  const replacements = runPolicy(before, 3_000, 60_000);
  t.deepEqual(
    replacements.map(({ engine, to }) => [engine, to]),
    [['p2', 'decode']],
  );
  const after = before.map(engine =>
    engine.name === 'p2' ? { ...engine, role: 'decode' as const } : engine,
  );
  t.deepEqual(
    runPolicy(after, 4_000, 60_000).map(({ engine, to }) => [engine, to]),
    [['d2', 'prefill']],
  );
});

test('limited decode engines count for little, and a whole engine joins them', t => {
  const { runPolicy } = setUp();
  const engines = [
    createEngineView('p1', 'prefill', limited),
    createEngineView('p2', 'prefill', { prefillTokens: 100 }),
    createEngineView('p3', 'prefill', { prefillTokens: 100 }),
    createEngineView('d1', 'decode', { capacityShare: 0.05, running: 1 }),
    createEngineView('d2', 'decode', { capacityShare: 0.05, running: 1 }),
  ];
  t.deepEqual(
    runPolicy(engines, 3_000).map(({ engine, to }) => [engine, to]),
    [['p2', 'decode']],
  );
});

test('limited engines that are enough for the work keep their roles', t => {
  const { runPolicy } = setUp();
  const engines = [
    createEngineView('p1', 'prefill', limited),
    createEngineView('p2', 'prefill'),
    createEngineView('d1', 'decode', limited),
    createEngineView('d2', 'decode'),
  ];
  t.deepEqual(runPolicy(engines, 10_000, 15_000), []);
});

const createFleet = (): readonly EngineView[] => [
  ...Array.from({ length: 20 }, (_, i) =>
    createEngineView(`p${i}`, 'prefill', withLongQueue),
  ),
  ...Array.from({ length: 40 }, (_, i) => createEngineView(`d${i}`, 'decode')),
];

/** Needs 60 prefill engines of 40 tokens a millisecond that are busy half of the time. */
const highPrefillRate = 1_200_000;

// Long prompts were late for ten seconds, while most engines decoded and were idle.
test('a token rate that rises right after a change moves engines at once', t => {
  const { runPolicy } = setUp();
  const engines = createFleet();
  const [first, ...others] = runPolicy(engines, 1_500);
  t.is(first?.to, 'prefill');
  t.is(others.length, 0);
  const changing = engines.map(engine => ({
    ...engine,
    available: engine.name !== first?.engine,
  }));
  const changes = runPolicy(changing, 500, highPrefillRate);
  t.is(changes.length, 11);
  t.true(changes.every(({ to }) => to === 'prefill'));
});

test('at most a fifth of the engines move at the same time', t => {
  const { runPolicy } = setUp();
  t.is(runPolicy(createFleet(), 4_000, highPrefillRate).length, 12);
});

test('engines that have moved make place for the next ones', t => {
  const { runPolicy } = setUp();
  const engines = createFleet();
  const moved = new Set(
    runPolicy(engines, 1_500, highPrefillRate).map(({ engine }) => engine),
  );
  const view = engines.map(engine =>
    moved.has(engine.name)
      ? createEngineView(engine.name, 'prefill', withLongQueue)
      : engine,
  );
  const changes = runPolicy(view, 500, highPrefillRate);
  t.is(changes.length, 12);
  t.true(changes.every(({ engine }) => !moved.has(engine)));
});

test('a missing engine that does not arrive is replaced after the interval', t => {
  const { runPolicy } = setUp();
  t.is(runPolicy(createFleet(), 6_000, highPrefillRate).length, 24);
});

// All but three of 53 engines came to prefill: each prompt's KV cache waited for these
// three, and a data centre that was cut off took a part of them away.
test('a high token rate leaves a fifth of the engines to decode', t => {
  const { runPolicy } = setUp();
  const engines = [
    ...Array.from({ length: 44 }, (_, i) =>
      createEngineView(`p${i}`, 'prefill', withLongQueue),
    ),
    ...Array.from({ length: 16 }, (_, i) =>
      createEngineView(`d${i}`, 'decode', { running: 1 }),
    ),
  ];
  t.is(runPolicy(engines, 4_000, highPrefillRate).length, 4);
});
