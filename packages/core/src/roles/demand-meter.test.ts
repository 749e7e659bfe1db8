/** Tests of the rates of the demand meter. */
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { DemandMeter } from './demand-meter.js';

test.serial(
  'rates include the whole seconds of the window and exclude older ones',
  t => {
    const clock = FakeTimers.install({ now: 0 });
    const meter = new DemandMeter(5);
    meter.countRequest({ prefillTokens: 1_000, outputTokens: 50 });
    t.is(meter.computeRates().requestRate, 0);
    clock.tick(1_000);
    t.deepEqual(meter.computeRates(), {
      prefillRate: 200,
      decodeRate: 10,
      requestRate: 0.2,
    });
    clock.tick(5_000);
    t.is(meter.computeRates().prefillRate, 0);
    clock.uninstall();
  },
);
