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

test('retries stay a tenth of the requests even after quiet hours', t => {
  const budget = new RetryBudget();
  for (let i = 0; i < 10_000; i += 1) budget.countRequest();
  let retries = 0;
  for (let i = 0; i < 200; i += 1) {
    budget.countRequest();
    while (budget.takeRetry()) retries += 1;
  }
  t.true(retries > 0 && retries <= 20, `${retries} retries`);
});

test.serial('an open circuit lets one call through, then closes', async t => {
  const clock = installClock(t);
  const breaker = new TargetCircuitBreaker({ random: () => 0.5 });
  for (let i = 0; i < 3; i += 1) await breaker.runCall(failCall);
  const refused = await breaker.runCall(succeedCall);
  t.is(refused.swap().unsafeCoerce().executed, 'no');
  await clock.tickAsync(1_000);
  let calls = 0;
  let answer: (value: Either<Failure, string>) => void = () => undefined;
  const slow = () =>
    new Promise<Either<Failure, string>>(resolve => {
      calls += 1;
      answer = resolve;
    });
  const tries = [1, 2, 3].map(() => breaker.runCall(slow));
  await clock.tickAsync(0);
  t.is(calls, 1);
  answer(Right('ok'));
  const passed = (await Promise.all(tries)).filter(one => one.isRight());
  t.is(passed.length, 1);
  t.true(breaker.isClosed);
});

test.serial('instances try an opened target at different times', async t => {
  const clock = installClock(t);
  const randoms = [0, 0.25, 0.5, 0.75, 0.99];
  const breakers = randoms.map(
    r => new TargetCircuitBreaker({ random: () => r }),
  );
  for (const breaker of breakers) {
    for (let i = 0; i < 3; i += 1) await breaker.runCall(failCall);
  }
  const waits = new Set(breakers.map(breaker => breaker.retryAfterMs));
  t.is(waits.size, randoms.length);
  await clock.tickAsync(500);
  t.is(breakers.filter(breaker => breaker.canProbe).length, 1);
});
