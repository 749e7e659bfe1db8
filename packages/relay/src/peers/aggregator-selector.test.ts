import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { HubChoice } from './aggregator-selector.js';

const names = ['a', 'b', 'c'];

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  return { clock, choice: new HubChoice() };
};

test.serial('the first that answers gathers', t => {
  const { clock, choice } = setUp(t);
  for (let i = 0; i < 20; i += 1) {
    choice.told('a');
    clock.tick(200);
    choice.heard('a');
  }
  t.is(choice.choose(names), 'a');
});

test.serial('one that is silent is passed over and tried again later', t => {
  const { clock, choice } = setUp(t);
  for (let i = 0; i < 8; i += 1) {
    choice.told('a');
    clock.tick(150);
  }
  t.is(choice.choose(names), 'b');
  clock.tick(5_000);
  t.is(choice.choose(names), 'a');
});

test.serial('when nobody is trusted the first is tried', t => {
  const { clock, choice } = setUp(t);
  for (const name of names) {
    choice.told(name);
    clock.tick(1_000);
    choice.told(name);
  }
  t.is(choice.choose(names), 'a');
  t.is(choice.choose([]), undefined);
});
