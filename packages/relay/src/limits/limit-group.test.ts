import type { InstanceRecord } from '@medlarlever/core';
import test from 'ava';

import { listKnownInstances } from '../peers/known-instances.js';

import { selectLimitGroup } from './limit-group.js';

const createInstances = (
  liveNames: readonly string[],
  suspectedNames: readonly string[] = [],
) => [
  ...liveNames.map(name => ({ name, state: 'live' as const })),
  ...suspectedNames.map(name => ({ name, state: 'suspected' as const })),
];

const listNames = (
  instances: readonly Pick<InstanceRecord, 'name' | 'state'>[],
  directoryNames: readonly string[],
): readonly string[] =>
  selectLimitGroup({
    self: 'a',
    instances,
    knownInstances: listKnownInstances({
      self: 'a',
      heardNames: instances.map(({ name }) => name),
      directoryNames,
      isDirectorySettled: false,
    }),
  }).names;

test('instances that are gone leave their part to the others', t => {
  const instances = createInstances(['a', 'b', 'c'], ['d']);
  t.deepEqual(listNames(instances, ['a', 'b', 'c', 'd']), ['a', 'b', 'c']);
});

test('an instance that hears of few others counts all that it knows', t => {
  const instances = createInstances(['a'], ['b', 'c']);
  const names = listNames(instances, ['a', 'b', 'c', 'd']);
  t.deepEqual([...names].sort(), ['a', 'b', 'c', 'd']);
});

test('an instance that does not know the others yet assumes some', t => {
  t.is(listNames(createInstances(['a']), []).length, 16);
  const names = Array.from({ length: 30 }, (_, i) => `instance-${i}`);
  t.is(listNames(createInstances(names), []).length, 31);
});

test('an instance that has read only its own row assumes others', t => {
  t.is(listNames(createInstances(['a']), ['a']).length, 16);
});

test('an instance that stops is part of its own group', t => {
  const instances = [
    { name: 'a', state: 'leaving' as const },
    ...createInstances(['b', 'c']),
  ];
  t.true(listNames(instances, ['a', 'b', 'c']).includes('a'));
});
