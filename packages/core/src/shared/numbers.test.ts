import test from 'ava';

import { logEvents } from './events.js';
import { resultCodes } from './result-codes.js';

const findRepeated = (
  entries: readonly { readonly number: number }[],
): number[] => {
  const numbers = entries.map(({ number }) => number);
  return numbers.filter((number, i) => numbers.indexOf(number) !== i);
};

test('no two result codes have the same number', t => {
  t.deepEqual(findRepeated(Object.values(resultCodes)), []);
});

test('no two events have the same number', t => {
  t.deepEqual(findRepeated(Object.values(logEvents)), []);
});
