import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import {
  createMemoryLog,
  createTargetRecord,
  createEngine,
} from '../fixtures/relay-fixtures.js';

import { PrefixCacheEstimate } from './prefix-cache-estimate.js';
import { TargetRegistry } from './target-registry.js';

const createRegistry = () => {
  const log = createMemoryLog();
  const endedTargetIds: string[] = [];
  const registry = new TargetRegistry({
    log,
    getKvCacheTokens: () => 1_000,
    onIncarnationEnded: ({ id }) => endedTargetIds.push(id),
  });
  return { registry, log, endedTargetIds };
};

test('a leaving target is not open and is logged once', t => {
  const { registry, log } = createRegistry();
  registry.registerTarget(createTargetRecord('t1'));
  registry.registerTarget(createTargetRecord('t1', { leaving: true }));
  registry.registerTarget(createTargetRecord('t1', { leaving: true }));
  t.deepEqual(registry.listOpenTargets('api'), []);
  const leavingEvents = log.entries.filter(
    ({ name }) => name === 'target_leaving',
  );
  t.is(leavingEvents.length, 1);
});

test('a target that restarts under its old id loses its cache and failures', t => {
  const { registry, endedTargetIds } = createRegistry();
  registry.registerTarget(createTargetRecord('t1', { startedAtMs: 1 }));
  const state = registry.findTarget('t1');
  state?.prefixCache.addSegments([{ id: 'p', tokens: 10 }]);
  state?.recordFailure(true);
  registry.registerTarget(createTargetRecord('t1', { startedAtMs: 2 }));
  t.is(state?.prefixCache.countCachedTokens([{ id: 'p', tokens: 10 }]), 0);
  t.false(state?.isAvoided);
  t.deepEqual(endedTargetIds, ['t1']);
});

// The registration may name another software version before it names the new start.
test('the version that a registration named before still counts', t => {
  const { registry } = createRegistry();
  const find = () =>
    registry.findOnlyVersion('api', {
      knownForMs: 60_000,
      streamLifetimeMs: 15_000,
    });
  registry.registerTarget(createTargetRecord('t1', { softwareVersion: 'v1' }));
  t.is(find(), 'v1');
  registry.registerTarget(createTargetRecord('t1', { softwareVersion: 'v2' }));
  t.is(find(), undefined);
});

test('a removed target is no longer counted and ends its incarnation once', t => {
  const { registry, endedTargetIds } = createRegistry();
  registry.registerTarget(createTargetRecord('t1'));
  registry.removeTarget('t1', 'removed');
  registry.removeTarget('t1', 'removed');
  t.is(registry.targetCount, 0);
  t.deepEqual(endedTargetIds, ['t1']);
});

// Guards against sends during a pause that a target asked for before its entry lapsed.
test('a target whose entry lapsed and came back keeps its pause and its limit', t => {
  const { registry } = createRegistry();
  const record = createTargetRecord('t1', { startedAtMs: 1 });
  registry.registerTarget(record);
  const before = registry.findTarget('t1');
  before?.startQuietPeriod(3_000);
  before?.limiter.statement.recordLimit(2, performance.now());
  registry.removeTarget('t1', 'missing');
  registry.registerTarget(record);
  const after = registry.findTarget('t1');
  t.true((after?.remainingQuietMs ?? 0) > 2_000);
  t.true(after?.isLimited);
  registry.removeTarget('t1', 'missing');
  registry.registerTarget({ ...record, startedAtMs: 2 });
  const restarted = registry.findTarget('t1');
  t.is(restarted?.remainingQuietMs, 0);
  t.false(restarted?.isLimited);
});

test('a segment counts as cached only if all segments before it are', t => {
  const cache = new PrefixCacheEstimate(() => 1_000);
  const segments = ['a', 'b', 'c'].map(id => ({ id, tokens: 100 }));
  cache.addSegments(segments.slice(0, 1));
  cache.addSegments(segments.slice(2));
  t.is(cache.countCachedTokens(segments), 100);
});

// After a restart, the store may list the engines before the configuration. With a size
// assumed then, the instance forgot most of what the engines keep, and had it read again.
test('the size of a cache is that of the configuration, also if that comes later', t => {
  let kvCacheTokens: number | undefined;
  const registry = new TargetRegistry({
    log: createMemoryLog(),
    getKvCacheTokens: () => kvCacheTokens,
  });
  registry.registerTarget(createTargetRecord('t1'));
  const cache = registry.findTarget('t1')?.prefixCache;
  const parts = Array.from({ length: 20 }, (_, i) => ({
    id: `part-${i}`,
    tokens: 13_000,
  }));
  const countCached = () =>
    parts.filter(part => (cache?.countCachedTokens([part]) ?? 0) > 0).length;
  cache?.addSegments(parts);
  t.is(countCached(), 20);
  kvCacheTokens = 366_000;
  cache?.addSegments(parts);
  t.is(countCached(), 20);
  kvCacheTokens = 26_000;
  cache?.addSegments([{ id: 'last', tokens: 13_000 }]);
  t.is(countCached(), 1);
});

test('the least recently used segments are evicted', t => {
  const cache = new PrefixCacheEstimate(() => 250);
  const [a, b, c] = ['a', 'b', 'c'].map(id => ({ id, tokens: 100 }));
  if (a === undefined || b === undefined || c === undefined) return;
  cache.addSegments([a]);
  cache.addSegments([b]);
  cache.addSegments([a]);
  cache.addSegments([c]);
  t.is(cache.countCachedTokens([b]), 0);
  t.is(cache.countCachedTokens([a]), 100);
});

test.serial(
  'a target with requests and no recent activity is unresponsive',
  async t => {
    const clock = FakeTimers.install({ now: 0 });
    t.teardown(() => {
      clock.uninstall();
    });
    const engine = createEngine('d1', 'decode');
    await clock.tickAsync(5_000);
    t.false(engine.isUnresponsive);
    const endRequest = engine.startRequest();
    await clock.tickAsync(1_000);
    t.true(engine.isUnresponsive);
    engine.recordActivity(300);
    t.false(engine.isUnresponsive);
    await clock.tickAsync(700);
    t.true(engine.isUnresponsive);
    endRequest();
    t.false(engine.isUnresponsive);
  },
);

test.serial(
  'consecutive failures lengthen the time that a target is avoided',
  async t => {
    const clock = FakeTimers.install({ now: 0 });
    t.teardown(() => {
      clock.uninstall();
    });
    const engine = createEngine('d1', 'decode');
    engine.recordFailure(false);
    t.false(engine.isAvoided);
    engine.recordFailure(false);
    t.true(engine.isAvoided);
    await clock.tickAsync(900);
    t.false(engine.isAvoided);
    engine.recordFailure(false);
    await clock.tickAsync(900);
    t.true(engine.isAvoided);
    engine.recordSuccess();
    t.false(engine.isAvoided);
  },
);

test.serial(
  'a leaving target is listed as recently leaving for a short time',
  async t => {
    const clock = FakeTimers.install({ now: 10_000 });
    t.teardown(() => {
      clock.uninstall();
    });
    const registry = new TargetRegistry({
      log: createMemoryLog(),
      getKvCacheTokens: () => 1_000,
    });
    registry.registerTarget(createTargetRecord('t1'));
    t.deepEqual(registry.listRecentlyLeavingTargets('api'), []);
    registry.registerTarget(createTargetRecord('t1', { leaving: true }));
    t.is(registry.listRecentlyLeavingTargets('api')[0]?.record.id, 't1');
    t.deepEqual(registry.listRecentlyLeavingTargets('other'), []);
    await clock.tickAsync(2_000);
    t.deepEqual(registry.listRecentlyLeavingTargets('api'), []);
  },
);

test.serial(
  'the cache of a leaving target that names its end may be copied until shortly before',
  async t => {
    const clock = FakeTimers.install({ now: 10_000 });
    t.teardown(() => {
      clock.uninstall();
    });
    const registry = new TargetRegistry({
      log: createMemoryLog(),
      getKvCacheTokens: () => 1_000,
    });
    const listIds = () =>
      registry.listRecentlyLeavingTargets('api').map(({ record }) => record.id);
    registry.registerTarget(
      createTargetRecord('soon', { leaving: true, leavesInMs: 1_000 }),
    );
    registry.registerTarget(
      createTargetRecord('later', { leaving: true, leavesInMs: 8_000 }),
    );
    t.deepEqual(registry.listOpenTargets('api'), []);
    await clock.tickAsync(900);
    t.deepEqual(listIds(), ['later']);
    // The same registration once more, for example from a whole read of the table.
    registry.registerTarget(
      createTargetRecord('later', { leaving: true, leavesInMs: 8_000 }),
    );
    await clock.tickAsync(6_800);
    t.deepEqual(listIds(), ['later']);
    await clock.tickAsync(200);
    t.deepEqual(listIds(), []);
    registry.registerTarget(
      createTargetRecord('later', { startedAtMs: 5, leaving: true }),
    );
    t.deepEqual(listIds(), ['later']);
  },
);
