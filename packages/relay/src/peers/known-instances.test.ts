import test from 'ava';

import { listKnownInstances, minAssumedInstances } from './known-instances.js';
import type { KnownInstancesOptions } from './known-instances.js';

const listKnown = (options: Partial<KnownInstancesOptions>) =>
  listKnownInstances({
    self: 'a',
    heardNames: ['a'],
    directoryNames: [],
    isDirectorySettled: false,
    ...options,
  });

const countInstances = (options: Partial<KnownInstancesOptions>): number =>
  listKnown(options).names.length;

test('an instance that knows only itself takes no more than a part of the budget', t => {
  t.is(countInstances({}), minAssumedInstances);
  t.is(countInstances({ directoryNames: ['a'] }), minAssumedInstances);
  t.is(countInstances({ heardNames: ['a', 'b'] }), minAssumedInstances);
});

test('an instance that has heard of others needs no row of theirs', t => {
  const heardNames = ['a', 'b', 'c'];
  t.is(countInstances({ directoryNames: ['a'], heardNames }), 3);
});

// Guards against a lone instance that refuses requests for want of connections.
test('the number of instances seen counts no assumed ones once the directory was read', t => {
  t.is(listKnown({}).seenCount, minAssumedInstances);
  t.is(listKnown({ directoryNames: ['a'] }).seenCount, 1);
  t.is(listKnown({ directoryNames: ['a', 'b'] }).seenCount, 2);
});

test('an instance that stays alone in the directory is the only one', t => {
  t.is(countInstances({ directoryNames: ['a'], isDirectorySettled: true }), 1);
});

test('each instance that was ever seen counts once', t => {
  const directoryNames = ['a', 'b', 'c'];
  t.is(countInstances({ directoryNames, heardNames: ['a', 'c', 'd'] }), 4);
  const heardNames = Array.from({ length: 30 }, (_, i) => `instance-${i}`);
  t.is(countInstances({ heardNames }), 31);
});
