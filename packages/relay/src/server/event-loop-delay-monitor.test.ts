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

test.serial(
  'an idle process probes seldom, and as often as before once requests read the delay',
  t => {
    const clock = FakeTimers.install({ now: 0 });
    t.teardown(() => {
      clock.uninstall();
    });
    const monitor = new EventLoopDelayMonitor(() => true);
    monitor.start();
    clock.tick(1_000);
    clock.jump(1_000);
    const delayAtRestMs = monitor.currentDelayMs;
    t.true(delayAtRestMs >= 750 && delayAtRestMs < 950, `${delayAtRestMs}`);
    for (let i = 0; i < 10; i += 1) {
      clock.tick(100);
      t.true(monitor.currentDelayMs < 950);
    }
    clock.jump(1_000);
    t.true(monitor.currentDelayMs >= 950, `${monitor.currentDelayMs}`);
    monitor.stop();
  },
);
