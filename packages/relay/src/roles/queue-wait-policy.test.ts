import test from 'ava';
import type { EngineView } from '@medlarlever/core';

import { QueueWaitPolicy } from './queue-wait-policy.js';

const createEngineView = (
  name: string,
  role: 'prefill' | 'decode',
  change: Partial<EngineView> = {},
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
  ...change,
});

const setUp = () => {
  const policy = new QueueWaitPolicy({
    getPrefillTokensPerMs: () => 40,
    minChangeIntervalMs: 4_000,
  });
  let nowMs = 0;
  /** Shows the same picture for some time; returns the changes. */
  const show = (
    engines: readonly EngineView[],
    ms: number,
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
    for (let shown = 0; shown < ms; shown += 500) {
      nowMs += 500;
      changes.push(
        ...policy.decideChanges({ nowMs, engines, demand: [demand] }).changes,
      );
    }
    return changes;
  };
  return { show };
};

const longQueue = { prefillTokens: 40_000 };

test('a wait for prefill that lasts moves the least busy decode engine', t => {
  const { show } = setUp();
  const engines = [
    createEngineView('p1', 'prefill', longQueue),
    createEngineView('d1', 'decode', { running: 3 }),
    createEngineView('d2', 'decode', { running: 1 }),
    createEngineView('d3', 'decode', { running: 2 }),
  ];
  const changes = show(engines, 4_000);
  t.deepEqual(
    changes.map(change => [change.engine, change.to]),
    [['d2', 'prefill']],
  );
});

test('two changes are apart by the time that one needs to show', t => {
  const { show } = setUp();
  const engines = [
    createEngineView('p1', 'prefill', longQueue),
    ...['d1', 'd2', 'd3', 'd4'].map(name => createEngineView(name, 'decode')),
  ];
  t.is(show(engines, 9_000).length, 2);
});

test('a mix that swings back and forth changes nothing', t => {
  const { show } = setUp();
  const calm = [
    createEngineView('p1', 'prefill', { prefillTokens: 2_000 }),
    createEngineView('d1', 'decode', { running: 3 }),
    createEngineView('d2', 'decode', { running: 3 }),
  ];
  const short = [
    createEngineView('p1', 'prefill', { prefillTokens: 7_000 }),
    ...calm.slice(1),
  ];
  let changes = 0;
  for (let i = 0; i < 10; i += 1) {
    changes += show(calm, 2_000).length + show(short, 500).length;
  }
  t.is(changes, 0);
});

test('the last decode engine and crowded ones stay', t => {
  const last = [
    createEngineView('p1', 'prefill', longQueue),
    createEngineView('d1', 'decode'),
  ];
  t.is(setUp().show(last, 5_000).length, 0);
  const crowded = [
    createEngineView('p1', 'prefill', longQueue),
    createEngineView('d1', 'decode', { running: 5 }),
    createEngineView('d2', 'decode', { running: 5 }),
  ];
  t.is(setUp().show(crowded, 5_000).length, 0);
});

test('idle prefill engines go to crowded decoding', t => {
  const engines = [
    createEngineView('p1', 'prefill'),
    createEngineView('p2', 'prefill'),
    createEngineView('d1', 'decode', { running: 9 }),
  ];
  const [change] = setUp().show(engines, 3_000);
  t.is(change?.to, 'decode');
});

test('a rate of prompts moves engines before queues have grown', t => {
  const engines = [
    createEngineView('p1', 'prefill'),
    ...['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd8', 'd9'].map(name =>
      createEngineView(name, 'decode', { running: 1 }),
    ),
  ];
  const changes = setUp().show(engines, 2_000, 100_000);
  t.is(changes.length, 2);
  t.true(changes.every(({ to }) => to === 'prefill'));
});

test('each data centre keeps an engine that decodes', t => {
  const engines = [
    createEngineView('p1', 'prefill', { ...longQueue, dataCenter: 'b' }),
    createEngineView('d1', 'decode', { dataCenter: 'a' }),
    createEngineView('d2', 'decode', { dataCenter: 'b' }),
    createEngineView('d3', 'decode', { dataCenter: 'c', running: 1 }),
    createEngineView('d4', 'decode', { dataCenter: 'c', running: 2 }),
  ];
  const changes = setUp().show(engines, 3_000);
  t.deepEqual(
    changes.map(change => change.engine),
    ['d3'],
  );
});

test('a data centre that lost its only decode engine gets one back', t => {
  const engines = [
    createEngineView('p1', 'prefill', { dataCenter: 'a' }),
    createEngineView('p2', 'prefill', { dataCenter: 'a', prefillTokens: 900 }),
    createEngineView('p3', 'prefill', { dataCenter: 'b' }),
    createEngineView('d1', 'decode', { dataCenter: 'b' }),
  ];
  const [change] = setUp().show(engines, 2_000);
  t.like(change, { engine: 'p1', to: 'decode' });
});

test('without any engine to decode the next picture moves one', t => {
  const { show } = setUp();
  const engines = [
    createEngineView('p1', 'prefill'),
    createEngineView('d1', 'decode'),
  ];
  show(engines, 2_000);
  const [change] = show(engines.slice(0, 1), 500);
  t.like(change, { engine: 'p1', to: 'decode' });
});
