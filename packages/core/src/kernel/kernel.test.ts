import test from 'ava';

import { Kernel, InjectionToken } from './kernel.js';

const numberToken = new InjectionToken<number>('number');
const textToken = new InjectionToken<string>('text');

test('a part is built once and on first use', t => {
  const kernel = new Kernel();
  let built = 0;
  kernel.provide(numberToken, () => ++built);
  t.is(kernel.get(numberToken), 1);
  t.is(kernel.get(numberToken), 1);
});

test('parts that depend on each other are reported with the cycle', t => {
  const kernel = new Kernel();
  kernel.provide(numberToken, k => k.get(textToken).length);
  kernel.provide(textToken, k => String(k.get(numberToken)));
  t.throws(() => kernel.get(numberToken), {
    message: 'parts depend on each other: number -> text -> number',
  });
});

test('steps start by rank and stop in reverse despite a failure', async t => {
  const kernel = new Kernel();
  const seen: string[] = [];
  const step = (name: string, rank: number, fails = false) => ({
    name,
    rank,
    start: () => Promise.resolve(void seen.push(`start ${name}`)),
    stop: () => {
      seen.push(`stop ${name}`);
      return fails ? Promise.reject(new Error('no')) : Promise.resolve();
    },
  });
  kernel.addLifecycleHook(step('b', 2, true));
  kernel.addLifecycleHook(step('a', 1));
  await kernel.start();
  await kernel.stop(name => seen.push(`failed ${name}`));
  t.deepEqual(seen, ['start a', 'start b', 'stop b', 'failed b', 'stop a']);
});
