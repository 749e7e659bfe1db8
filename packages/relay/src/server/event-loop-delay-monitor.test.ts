import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';

test.serial('a blocked process knows how long it was away', t => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const delay = new EventLoopDelayMonitor();
  t.is(delay.currentDelayMs, 0, 'nothing is known before the start');
  delay.start();
  clock.tick(500);
  t.is(delay.currentDelayMs, 0);
  clock.jump(1_000);
  t.true(delay.currentDelayMs >= 950, `${delay.currentDelayMs}`);
  clock.tick(100);
  t.true(delay.currentDelayMs > 100, 'what waited is not all read yet');
  clock.tick(1_000);
  t.true(delay.currentDelayMs < 1);
  delay.stop();
});
