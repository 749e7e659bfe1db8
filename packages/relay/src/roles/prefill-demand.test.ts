import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { PrefillDemand } from './prefill-demand.js';

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const demand = new PrefillDemand();
  let total = 0;
  /** Reports a total that grows by the tokens, five times a second. */
  const reportTokens = (tokensPerSecond: number, durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
      demand.recordTotals('a', [['lm', total]]);
      total += tokensPerSecond / 5;
      clock.tick(200);
    }
    demand.recordTotals('a', [['lm', total]]);
  };
  return { demand, reportTokens };
};

// Engines were moved to prefill seconds late, as the rate seemed to rise slowly.
test.serial('the rate of a demand that has begun a second ago is known', t => {
  const { demand, reportTokens } = setUp(t);
  reportTokens(100_000, 1_000);
  t.is(Math.round(demand.getTokensPerSecond('lm')), 100_000);
});

test.serial('a single burst of tokens is averaged over a second', t => {
  const { demand, reportTokens } = setUp(t);
  reportTokens(100_000, 200);
  t.is(Math.round(demand.getTokensPerSecond('lm')), 20_000);
});

test.serial('a steady rate is averaged over the last seconds', t => {
  const { demand, reportTokens } = setUp(t);
  reportTokens(100_000, 10_000);
  reportTokens(200_000, 1_200);
  const rate = demand.getTokensPerSecond('lm');
  t.true(rate > 120_000 && rate < 160_000, `${rate}`);
});
