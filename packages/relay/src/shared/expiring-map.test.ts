import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { ExpiringMap } from './expiring-map.js';

test.serial('a value is kept for its time from when it was last set', t => {
  const clock = installPausedClock(t);
  const map = new ExpiringMap<string, number>({ ttlMs: 100, maxEntries: 10 });
  map.set('a', 1);
  map.set('b', 2);
  clock.tick(60);
  map.set('a', 3);
  clock.tick(60);
  t.is(map.get('a'), 3);
  t.is(map.get('b'), undefined, 'expired');
  clock.tick(60);
  t.is(map.get('a'), undefined);
});

test.serial('the oldest entry gives way when the map is full', t => {
  installPausedClock(t);
  const map = new ExpiringMap<string, number>({ ttlMs: 100, maxEntries: 2 });
  for (const [i, key] of ['a', 'b', 'a', 'c'].entries()) map.set(key, i);
  t.is(map.get('b'), undefined);
  t.is(map.get('a'), 2);
  t.is(map.get('c'), 3);
});
