import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { LoopDelay } from './event-loop-delay-monitor.js';

test.serial('a blocked process knows how long it was away', t => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const delay = new LoopDelay();
  t.is(delay.currentMs, 0, 'nothing is known before the start');
  delay.start();
  clock.tick(500);
  t.is(delay.currentMs, 0);
  clock.jump(1_000);
  t.true(delay.currentMs >= 950, `${delay.currentMs}`);
  clock.tick(100);
  t.true(delay.currentMs > 100, 'what waited is not all read yet');
  clock.tick(1_000);
  t.true(delay.currentMs < 1);
  delay.stop();
});
