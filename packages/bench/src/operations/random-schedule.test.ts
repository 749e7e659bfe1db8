/** Property test of operations under random fault schedules. */
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';

import { runOperationSchedule } from './random-schedule.js';

test.serial(
  'no random fault schedule violates a guarantee of operations',
  async t => {
    const property = fc.asyncProperty(fc.integer({ min: 1 }), async seed => {
      const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
      try {
        const { violations, answerCount } = await runOperationSchedule(
          seed,
          clock,
        );
        if (violations.length > 0)
          throw new Error(`seed ${seed}: ${violations.join('; ')}`);
        return answerCount > 0;
      } finally {
        clock.uninstall();
      }
    });
    await t.notThrowsAsync(fc.assert(property, { seed: 4, numRuns: 25 }));
  },
);
