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
  const ended: string[] = [];
  const book = new TargetRegistry({
    log,
    getKvCacheTokens: () => 1_000,
    onIncarnationEnded: ({ id }) => ended.push(id),
  });
  return { book, log, ended };
};

test('a leaving target gets no new work and is told once', t => {
  const { book, log } = createRegistry();
  book.registerTarget(createTargetRecord('t1'));
  book.registerTarget(createTargetRecord('t1', { leaving: true }));
  book.registerTarget(createTargetRecord('t1', { leaving: true }));
  t.deepEqual(book.listOpenTargets('api'), []);
  const told = log.entries.filter(({ name }) => name === 'target_leaving');
  t.is(told.length, 1);
});

test('a new life under an old id knows nothing of before', t => {
  const { book, ended } = createRegistry();
  book.registerTarget(createTargetRecord('t1', { startedAtMs: 1 }));
  const state = book.findTarget('t1');
  state?.prefixCache.addSegments([{ id: 'p', tokens: 10 }]);
  state?.recordFailure(true);
  book.registerTarget(createTargetRecord('t1', { startedAtMs: 2 }));
  t.is(state?.prefixCache.countCachedTokens([{ id: 'p', tokens: 10 }]), 0);
  t.false(state?.isAvoided);
  t.deepEqual(ended, ['t1']);
});

test('a removed target is forgotten', t => {
  const { book, ended } = createRegistry();
  book.registerTarget(createTargetRecord('t1'));
  book.removeTarget('t1', 'removed');
  book.removeTarget('t1', 'removed');
  t.is(book.targetCount, 0);
  t.deepEqual(ended, ['t1']);
});

test('only parts behind kept ones count as kept', t => {
  const cache = new PrefixCacheEstimate(1_000);
  const parts = ['a', 'b', 'c'].map(id => ({ id, tokens: 100 }));
  cache.addSegments(parts.slice(0, 1));
  cache.addSegments(parts.slice(2));
  t.is(cache.countCachedTokens(parts), 100);
});

test('the least recently used parts yield', t => {
  const cache = new PrefixCacheEstimate(250);
  const [a, b, c] = ['a', 'b', 'c'].map(id => ({ id, tokens: 100 }));
  if (a === undefined || b === undefined || c === undefined) return;
  cache.addSegments([a]);
  cache.addSegments([b]);
  cache.addSegments([a]);
  cache.addSegments([c]);
  t.is(cache.countCachedTokens([b]), 0);
  t.is(cache.countCachedTokens([a]), 100);
});

test.serial('a target with work that nobody hears of is dark', async t => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const engine = createEngine('d1', 'decode');
  await clock.tickAsync(5_000);
  t.false(engine.isUnresponsive);
  const leave = engine.startRequest();
  await clock.tickAsync(1_000);
  t.true(engine.isUnresponsive);
  engine.recordActivity(300);
  t.false(engine.isUnresponsive);
  await clock.tickAsync(700);
  t.true(engine.isUnresponsive);
  leave();
  t.false(engine.isUnresponsive);
});

test.serial('failures in a row make a target avoided for longer', async t => {
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
});

test.serial('an engine that left can be copied from for a moment', async t => {
  const clock = FakeTimers.install({ now: 10_000 });
  t.teardown(() => {
    clock.uninstall();
  });
  const book = new TargetRegistry({
    log: createMemoryLog(),
    getKvCacheTokens: () => 1_000,
  });
  book.registerTarget(createTargetRecord('t1'));
  t.deepEqual(book.listRecentlyLeavingTargets('api'), []);
  book.registerTarget(createTargetRecord('t1', { leaving: true }));
  t.is(book.listRecentlyLeavingTargets('api')[0]?.record.id, 't1');
  t.deepEqual(book.listRecentlyLeavingTargets('other'), []);
  await clock.tickAsync(2_000);
  t.deepEqual(book.listRecentlyLeavingTargets('api'), []);
});
