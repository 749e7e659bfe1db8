import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';

test.serial(
  'a blocked process measures the event loop delay and lets it decay',
  t => {
    const clock = FakeTimers.install({ now: 0 });
    t.teardown(() => {
      clock.uninstall();
    });
    const monitor = new EventLoopDelayMonitor();
    t.is(monitor.currentDelayMs, 0, 'the delay is 0 before the start');
    monitor.start();
    clock.tick(500);
    t.is(monitor.currentDelayMs, 0);
    clock.jump(1_000);
    t.true(monitor.currentDelayMs >= 950, `${monitor.currentDelayMs}`);
    clock.tick(100);
    t.true(monitor.currentDelayMs > 100, 'the delay decays over several turns');
    clock.tick(1_000);
    t.true(monitor.currentDelayMs < 1);
    monitor.stop();
  },
);
