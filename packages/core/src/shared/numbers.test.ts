import test from 'ava';

import { logEvents } from './events.js';
import { resultCodes } from './result-codes.js';

for (const [name, table] of [
  ['result code', resultCodes],
  ['event', logEvents],
] as const) {
  test(`no two ${name}s have the same number`, t => {
    const numbers = Object.values(table).map(({ number }) => number);
    const repeated = numbers.filter(
      (number, i) => numbers.indexOf(number) !== i,
    );
    t.deepEqual(repeated, []);
  });
}
