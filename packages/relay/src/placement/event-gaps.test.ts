import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { createEngine } from '../fixtures/relay-fixtures.js';

import { EventGapAverage, EventGapMeter } from './event-gaps.js';

test.serial('the gap is the mean time between events', t => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const times = new EventGapMeter();
  times.recordEvent();
  clock.tick(40);
  times.recordEvent();
  t.is(times.meanGapMs, undefined, 'two events tell no pace');
  clock.tick(60);
  times.recordEvent();
  t.is(times.meanGapMs, 50);
});

test('a slow decode engine is told from the others by its gaps', t => {
  const pace = new EventGapAverage();
  const engines = ['d1', 'd2', 'd3', 'd4'].map(id =>
    createEngine(id, 'decode'),
  );
  for (let i = 0; i < 40; i += 1) {
    for (const engine of engines) {
      const gapMs = engine.record.id === 'd4' ? 200 : 50;
      engine.recordDuration(gapMs, pace.addSample(gapMs));
    }
  }
  const [fast, , , slow] = engines.map(({ slowness }) => slowness);
  t.true((slow ?? 0) > 2.5 * (fast ?? Infinity), `${slow} against ${fast}`);
});
