/** Tests transactions and lost answers of the in-memory table. */
import test from 'ava';

import { MemoryTable } from './memory-table.js';

const rowKey = { partition: 'p', sort: 's' };

const createPutTransaction = (token: string, value: unknown) => ({
  token,
  writes: [
    {
      kind: 'put' as const,
      key: rowKey,
      condition: { kind: 'any' as const },
      value,
    },
  ],
});

test('a transaction with a known token is not applied again and gets the same answer', async t => {
  const table = new MemoryTable();
  await table.commitTransaction(createPutTransaction('a', 1));
  await table.commitTransaction(createPutTransaction('b', 2));
  const repeatedOutcome = await table.commitTransaction(
    createPutTransaction('a', 1),
  );
  t.deepEqual(repeatedOutcome.extract(), { kind: 'committed' });
  t.like(table.listRows('p')[0], {
    version: { era: 0, number: 2 },
    value: 2,
    token: 'b',
  });
  t.true(
    (await table.commitTransaction(createPutTransaction('b', 3))).isLeft(),
  );
});

test('a failed condition changes no row and returns all rows of the transaction', async t => {
  const table = new MemoryTable();
  await table.commitTransaction(createPutTransaction('a', 1));
  const outcome = await table.commitTransaction({
    token: 'b',
    writes: [
      {
        kind: 'delete',
        key: rowKey,
        condition: { kind: 'version', version: { era: 0, number: 1 } },
      },
      {
        kind: 'check',
        key: { partition: 'p', sort: 'other' },
        condition: { kind: 'version', version: { era: 0, number: 1 } },
      },
    ],
  });
  const [row] = table.listRows('p');
  t.deepEqual(outcome.extract(), { kind: 'conflict', rows: [row, undefined] });
});

test('a commit whose answer is lost takes effect', async t => {
  const table = new MemoryTable();
  table.faults.loseAnswers = 1;
  const outcome = await table.commitTransaction(createPutTransaction('a', 1));
  t.like(outcome.extract(), { code: 'platform_unknown', executed: 'unknown' });
  t.is(table.listRows('p').length, 1);
});
