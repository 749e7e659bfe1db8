import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { createEngine } from '../fixtures/relay-fixtures.js';

import { MovingAverage } from '../shared/moving-average.js';

import { EventGapMeter } from './event-gaps.js';

test.serial(
  'meanGapMs is the mean time between events, undefined for two events',
  t => {
    const clock = FakeTimers.install({ now: 0 });
    t.teardown(() => {
      clock.uninstall();
    });
    const eventGapMeter = new EventGapMeter();
    eventGapMeter.recordEvent();
    clock.tick(40);
    eventGapMeter.recordEvent();
    t.is(
      eventGapMeter.meanGapMs,
      undefined,
      'two events are too few for a mean gap',
    );
    clock.tick(60);
    eventGapMeter.recordEvent();
    t.is(eventGapMeter.meanGapMs, 50);
  },
);

test('a decode engine with long event gaps gets a higher slowness', t => {
  const eventGapAverage = new MovingAverage();
  const engines = ['d1', 'd2', 'd3', 'd4'].map(id =>
    createEngine(id, 'decode'),
  );
  for (let i = 0; i < 40; i += 1) {
    for (const engine of engines) {
      const gapMs = engine.record.id === 'd4' ? 200 : 50;
      engine.recordDuration(gapMs, eventGapAverage.addSample(gapMs));
    }
  }
  const [fastSlowness, , , slowSlowness] = engines.map(
    ({ slowness }) => slowness,
  );
  t.true(
    (slowSlowness ?? 0) > 2.5 * (fastSlowness ?? Infinity),
    `${slowSlowness} against ${fastSlowness}`,
  );
});
