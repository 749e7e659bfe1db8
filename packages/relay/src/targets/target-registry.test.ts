import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { aLog, aTarget, anEngine } from '../fixtures/relay-fixtures.js';

import { CachedParts } from './prefix-cache-estimate.js';
import { TargetBook } from './target-registry.js';

const setUp = () => {
  const log = aLog();
  const ended: string[] = [];
  const book = new TargetBook({
    log,
    kvTokens: () => 1_000,
    onEnded: ({ id }) => ended.push(id),
  });
  return { book, log, ended };
};

test('a leaving target gets no new work and is told once', t => {
  const { book, log } = setUp();
  book.register(aTarget('t1'));
  book.register(aTarget('t1', { leaving: true }));
  book.register(aTarget('t1', { leaving: true }));
  t.deepEqual(book.open('api'), []);
  const told = log.entries.filter(({ name }) => name === 'target_leaving');
  t.is(told.length, 1);
});

test('a new life under an old id knows nothing of before', t => {
  const { book, ended } = setUp();
  book.register(aTarget('t1', { startedAtMs: 1 }));
  const state = book.find('t1');
  state?.cache.add([{ id: 'p', tokens: 10 }]);
  state?.failed(true);
  book.register(aTarget('t1', { startedAtMs: 2 }));
  t.is(state?.cache.cachedTokens([{ id: 'p', tokens: 10 }]), 0);
  t.false(state?.avoided);
  t.deepEqual(ended, ['t1']);
});

test('a removed target is forgotten', t => {
  const { book, ended } = setUp();
  book.register(aTarget('t1'));
  book.remove('t1', 'removed');
  book.remove('t1', 'removed');
  t.is(book.size, 0);
  t.deepEqual(ended, ['t1']);
});

test('only parts behind kept ones count as kept', t => {
  const cache = new CachedParts(1_000);
  const parts = ['a', 'b', 'c'].map(id => ({ id, tokens: 100 }));
  cache.add(parts.slice(0, 1));
  cache.add(parts.slice(2));
  t.is(cache.cachedTokens(parts), 100);
});

test('the least recently used parts yield', t => {
  const cache = new CachedParts(250);
  const [a, b, c] = ['a', 'b', 'c'].map(id => ({ id, tokens: 100 }));
  if (a === undefined || b === undefined || c === undefined) return;
  cache.add([a]);
  cache.add([b]);
  cache.add([a]);
  cache.add([c]);
  t.is(cache.cachedTokens([b]), 0);
  t.is(cache.cachedTokens([a]), 100);
});

test.serial('a target with work that nobody hears of is dark', async t => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const engine = anEngine('d1', 'decode');
  await clock.tickAsync(5_000);
  t.false(engine.dark);
  const leave = engine.enter();
  await clock.tickAsync(1_000);
  t.true(engine.dark);
  engine.heard(300);
  t.false(engine.dark);
  await clock.tickAsync(700);
  t.true(engine.dark);
  leave();
  t.false(engine.dark);
});

test.serial('failures in a row make a target avoided for longer', async t => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const engine = anEngine('d1', 'decode');
  engine.failed(false);
  t.false(engine.avoided);
  engine.failed(false);
  t.true(engine.avoided);
  await clock.tickAsync(900);
  t.false(engine.avoided);
  engine.failed(false);
  await clock.tickAsync(900);
  t.true(engine.avoided);
  engine.succeeded();
  t.false(engine.avoided);
});

test.serial('an engine that left can be copied from for a moment', async t => {
  const clock = FakeTimers.install({ now: 10_000 });
  t.teardown(() => {
    clock.uninstall();
  });
  const book = new TargetBook({ log: aLog(), kvTokens: () => 1_000 });
  book.register(aTarget('t1'));
  t.deepEqual(book.leftLately('api'), []);
  book.register(aTarget('t1', { leaving: true }));
  t.is(book.leftLately('api')[0]?.record.id, 't1');
  t.deepEqual(book.leftLately('other'), []);
  await clock.tickAsync(2_000);
  t.deepEqual(book.leftLately('api'), []);
});
