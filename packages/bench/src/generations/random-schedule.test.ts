/** Property test of generations under random fault schedules. */
import test from 'ava';
import fc from 'fast-check';

import { runGenerationSchedule, scheduleArbitrary } from './random-schedule.js';

test.serial(
  'no random fault schedule loses, duplicates or reorders a token',
  async t => {
    let completeCount = 0;
    await fc.assert(
      fc.asyncProperty(scheduleArbitrary, async steps => {
        const outcome = await runGenerationSchedule(steps, 3);
        completeCount += outcome.completeCount;
        t.deepEqual(outcome.violations, []);
      }),
      { seed: 20_261, numRuns: 25 },
    );
    t.true(completeCount > 25, 'most answers are complete');
  },
);
