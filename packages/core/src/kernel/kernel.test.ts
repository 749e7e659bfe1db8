/** Tests dependency resolution and lifecycle hooks of the kernel. */
import test from 'ava';

import { Kernel, InjectionToken } from './kernel.js';

const numberToken = new InjectionToken<number>('number');
const textToken = new InjectionToken<string>('text');

test('a component is created once, on first use', t => {
  const kernel = new Kernel();
  let createdCount = 0;
  kernel.provide(numberToken, () => ++createdCount);
  t.is(kernel.get(numberToken), 1);
  t.is(kernel.get(numberToken), 1);
});

test('a dependency cycle of components is reported with its path', t => {
  const kernel = new Kernel();
  kernel.provide(numberToken, container => container.get(textToken).length);
  kernel.provide(textToken, container => String(container.get(numberToken)));
  t.throws(() => kernel.get(numberToken), {
    message: 'components depend on each other: number -> text -> number',
  });
});

test('hooks start by rank and stop in reverse order, also after a failed stop', async t => {
  const kernel = new Kernel();
  const calls: string[] = [];
  const createHook = (name: string, rank: number, stopFails = false) => ({
    name,
    rank,
    start: () => Promise.resolve(void calls.push(`start ${name}`)),
    stop: () => {
      calls.push(`stop ${name}`);
      return stopFails ? Promise.reject(new Error('no')) : Promise.resolve();
    },
  });
  kernel.addLifecycleHook(createHook('b', 2, true));
  kernel.addLifecycleHook(createHook('a', 1));
  await kernel.start();
  await kernel.stop(name => calls.push(`failed ${name}`));
  t.deepEqual(calls, ['start a', 'start b', 'stop b', 'failed b', 'stop a']);
});
