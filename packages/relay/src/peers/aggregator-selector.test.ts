import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { AggregatorSelector } from './aggregator-selector.js';

const instanceNames = ['a', 'b', 'c'];

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  return { clock, selector: new AggregatorSelector() };
};

test.serial('the first responsive instance by name is selected', t => {
  const { clock, selector } = setUp(t);
  for (let i = 0; i < 20; i += 1) {
    selector.recordSent('a');
    clock.tick(200);
    selector.recordReceived('a');
  }
  t.is(selector.selectAggregator(instanceNames), 'a');
});

test.serial(
  'an unresponsive instance is excluded and eligible again after 5 s',
  t => {
    const { clock, selector } = setUp(t);
    for (let i = 0; i < 8; i += 1) {
      selector.recordSent('a');
      clock.tick(150);
    }
    t.is(selector.selectAggregator(instanceNames), 'b');
    clock.tick(5_000);
    t.is(selector.selectAggregator(instanceNames), 'a');
  },
);

test.serial('the first instance is selected when all are excluded', t => {
  const { clock, selector } = setUp(t);
  for (const name of instanceNames) {
    selector.recordSent(name);
    clock.tick(1_000);
    selector.recordSent(name);
  }
  t.is(selector.selectAggregator(instanceNames), 'a');
  t.is(selector.selectAggregator([]), undefined);
});
