import test from 'ava';
import fc from 'fast-check';

import { runGenerationSchedule, scheduleArbitrary } from './random-schedule.js';

test.serial(
  'no schedule of faults loses, doubles or reorders a token',
  async t => {
    let whole = 0;
    await fc.assert(
      fc.asyncProperty(scheduleArbitrary, async steps => {
        const outcome = await runGenerationSchedule(steps, 3);
        whole += outcome.completeCount;
        t.deepEqual(outcome.violations, []);
      }),
      { seed: 20_261, numRuns: 25 },
    );
    t.true(whole > 25, 'most answers end whole');
  },
);
