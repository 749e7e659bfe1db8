import test from 'ava';
import fc from 'fast-check';

import { RequestRetries } from './request-retries.js';
import type { EarlierArrivals, SendResult } from './request-retries.js';
import { RetryBudget } from './retry-budget.js';

const createBudget = (allowance: number): RetryBudget =>
  new RetryBudget({
    windowMs: 10_000,
    knownSinceMs: -Infinity,
    getLimits: () => ({
      retriesPerRequest: 0,
      deploymentAllowance: allowance,
      instanceCount: 1,
    }),
  });

/** Prefills until one succeeds, then runs, as often as the results say. */
const playSends = (
  retries: RequestRetries,
  results: readonly SendResult[],
): SendResult[] => {
  const made: SendResult[] = [];
  let isPrefilled = false;
  for (const result of results) {
    if (!retries.reserveFor(isPrefilled ? 'run' : 'prefill')) break;
    const outcome: SendResult =
      isPrefilled && result === 'prefilled' ? 'arrived' : result;
    retries.startSend()(outcome);
    made.push(outcome);
    isPrefilled = outcome === 'prefilled';
  }
  return made;
};

/** Arrivals after the first one, without the first prefill that succeeds. */
const countRepeats = (results: readonly SendResult[]): number => {
  const arrivedCount = results.filter(result => result === 'arrived').length;
  const prefillCount = results.filter(result => result === 'prefilled').length;
  return Math.max(0, arrivedCount + Math.max(0, prefillCount - 1) - 1);
};

test('each arrival after the first one takes one retry, and nothing else does', t => {
  const result = fc.constantFrom<SendResult>('arrived', 'prefilled', 'unsent');
  fc.assert(
    fc.property(fc.array(result, { maxLength: 12 }), results => {
      const budget = createBudget(1_000);
      const retries = new RequestRetries(budget);
      const made = playSends(retries, results);
      retries.release();
      t.is(800 - budget.remainingRetries, countRepeats(made));
    }),
    { seed: 49, numRuns: 500 },
  );
});

test('a request makes no more repeats than the budget allows', t => {
  const result = fc.constantFrom<SendResult>('arrived', 'prefilled', 'unsent');
  fc.assert(
    fc.property(fc.array(result, { maxLength: 30 }), results => {
      const retries = new RequestRetries(createBudget(5));
      t.true(countRepeats(playSends(retries, results)) <= 4);
    }),
    { seed: 49, numRuns: 500 },
  );
});

const countForRun = (earlier: EarlierArrivals): number => {
  const budget = createBudget(10);
  const retries = new RequestRetries(budget, earlier);
  retries.reserveFor('prefill');
  retries.startSend()('prefilled');
  retries.startSend()('arrived');
  return 8 - budget.remainingRetries;
};

test('a request that was handed over goes on counting what arrived before', t => {
  t.is(countForRun({ hasArrived: false, hasPrefilled: false }), 0);
  t.is(countForRun({ hasArrived: true, hasPrefilled: false }), 1);
  t.is(countForRun({ hasArrived: false, hasPrefilled: true }), 1);
  t.is(countForRun({ hasArrived: true, hasPrefilled: true }), 2);
});

test('a retry that is reserved counts until it is given back', t => {
  const budget = createBudget(10);
  const retries = new RequestRetries(budget);
  t.true(retries.reserveRetry());
  t.is(budget.remainingRetries, 7);
  retries.release();
  t.is(budget.remainingRetries, 8);
});

// Guards against a silent send that is given up although its repeat can't be made.
test('a send of a prefilled request can be given up only for two retries', t => {
  for (const [allowance, expected] of [
    [2, false],
    [3, true],
  ] as const) {
    const budget = createBudget(allowance);
    const retries = new RequestRetries(budget);
    retries.startSend()('prefilled');
    retries.startSend();
    t.is(retries.canRepeat, expected);
    t.is(retries.reserveRepeat(), expected);
    retries.release();
    t.is(budget.remainingRetries, 0.8 * allowance);
  }
});
