import test from 'ava';

import { estimateCapacityShare } from './capacity-share.js';

const sizes = { prefillTokens: 4_000, decodeMs: 500 };

const estimateShare = (
  role: 'prefill' | 'decode',
  requestsPerSecond: number,
  measured = sizes as Partial<typeof sizes>,
): number =>
  estimateCapacityShare({
    role,
    requestsPerSecond,
    slots: 20,
    prefillTokensPerMs: 40,
    sizes: {
      prefillTokens: measured.prefillTokens,
      decodeMs: measured.decodeMs,
    },
  });

test('a limited prefill engine counts by the tokens that its requests have', t => {
  t.is(estimateShare('prefill', 2), 0.4);
  t.is(estimateShare('prefill', 0), 0);
  t.is(estimateShare('prefill', 50), 1);
});

test('a limited decode engine counts by the slots that its requests take', t => {
  t.is(estimateShare('decode', 2), 0.1);
  t.is(estimateShare('decode', 500), 1);
});

test('a limited engine counts for nothing while no request was measured', t => {
  t.is(estimateShare('prefill', 2, {}), 0);
  t.is(estimateShare('decode', 2, {}), 0);
});
