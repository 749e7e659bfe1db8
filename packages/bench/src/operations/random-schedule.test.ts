import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';

import { runOperationSchedule } from './random-schedule.js';

test.serial('random faults break no promise', async t => {
  const property = fc.asyncProperty(fc.integer({ min: 1 }), async seed => {
    const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
    try {
      const { violations: broken, answerCount: answered } =
        await runOperationSchedule(seed, clock);
      if (broken.length > 0) throw new Error(`${seed}: ${broken.join('; ')}`);
      return answered > 0;
    } finally {
      clock.uninstall();
    }
  });
  await t.notThrowsAsync(fc.assert(property, { seed: 4, numRuns: 25 }));
});
