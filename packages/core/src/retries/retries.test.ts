/** Tests of the retry budget and the circuit breaker. */
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { RetryBudget } from './retry-budget.js';
import { TargetCircuitBreaker } from './target-circuit-breaker.js';

const installClock = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  return clock;
};

const failCall = () =>
  Promise.resolve<Either<Failure, string>>(
    Left(new Failure('target_failed', 'broken', { executed: 'unknown' })),
  );

const succeedCall = () => Promise.resolve<Either<Failure, string>>(Right('ok'));

test('retries stay below a tenth of the requests after a long period without retries', t => {
  const budget = new RetryBudget();
  for (let i = 0; i < 10_000; i += 1) budget.countRequest();
  let retries = 0;
  for (let i = 0; i < 200; i += 1) {
    budget.countRequest();
    while (budget.takeRetry()) retries += 1;
  }
  t.true(retries > 0 && retries <= 20, `${retries} retries`);
});

test.serial(
  'a half-open circuit runs one probe call and closes when it succeeds',
  async t => {
    const clock = installClock(t);
    const breaker = new TargetCircuitBreaker({ random: () => 0.5 });
    for (let i = 0; i < 3; i += 1) await breaker.runCall(failCall);
    const refused = await breaker.runCall(succeedCall);
    t.is(refused.swap().unsafeCoerce().executed, 'no');
    await clock.tickAsync(1_000);
    let calls = 0;
    let resolveCall: (value: Either<Failure, string>) => void = () => undefined;
    const runSlowCall = () =>
      new Promise<Either<Failure, string>>(resolve => {
        calls += 1;
        resolveCall = resolve;
      });
    const pendingCalls = [1, 2, 3].map(() => breaker.runCall(runSlowCall));
    await clock.tickAsync(0);
    t.is(calls, 1);
    resolveCall(Right('ok'));
    const succeeded = (await Promise.all(pendingCalls)).filter(result =>
      result.isRight(),
    );
    t.is(succeeded.length, 1);
    t.true(breaker.isClosed);
  },
);

test.serial(
  'the open period is jittered, so that instances probe a target at different times',
  async t => {
    const clock = installClock(t);
    const randoms = [0, 0.25, 0.5, 0.75, 0.99];
    const breakers = randoms.map(
      random => new TargetCircuitBreaker({ random: () => random }),
    );
    for (const breaker of breakers) {
      for (let i = 0; i < 3; i += 1) await breaker.runCall(failCall);
    }
    const retryTimesMs = new Set(breakers.map(breaker => breaker.retryAfterMs));
    t.is(retryTimesMs.size, randoms.length);
    await clock.tickAsync(500);
    t.is(breakers.filter(breaker => breaker.canProbe).length, 1);
  },
);
