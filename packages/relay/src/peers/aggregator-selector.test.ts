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
  return { clock, choice: new AggregatorSelector() };
};

test.serial('the first that answers gathers', t => {
  const { clock, choice } = setUp(t);
  for (let i = 0; i < 20; i += 1) {
    choice.recordSent('a');
    clock.tick(200);
    choice.recordReceived('a');
  }
  t.is(choice.selectAggregator(instanceNames), 'a');
});

test.serial('one that is silent is passed over and tried again later', t => {
  const { clock, choice } = setUp(t);
  for (let i = 0; i < 8; i += 1) {
    choice.recordSent('a');
    clock.tick(150);
  }
  t.is(choice.selectAggregator(instanceNames), 'b');
  clock.tick(5_000);
  t.is(choice.selectAggregator(instanceNames), 'a');
});

test.serial('when nobody is trusted the first is tried', t => {
  const { clock, choice } = setUp(t);
  for (const name of instanceNames) {
    choice.recordSent(name);
    clock.tick(1_000);
    choice.recordSent(name);
  }
  t.is(choice.selectAggregator(instanceNames), 'a');
  t.is(choice.selectAggregator([]), undefined);
});
