/** Tests of the table client: retried commits, coalesced reads, the write budget and outages. */
import {
  MemoryLog,
  commitWithRetry,
  getCommitOutcome,
  sleep,
  TableClient,
} from '@medlarlever/core';
import type { RowKey, Transaction } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';

import { getResultCode, withFakeClock } from './fixtures.js';
import { createSeededRandom } from '../shared/seeded-random.js';

const rowKey: RowKey = { partition: 'p', sort: 's' };

const createPutTransaction = (
  token: string,
  value: unknown,
  version = 0,
): Transaction => ({
  token,
  writes: [
    {
      kind: 'put',
      key: rowKey,
      condition:
        version === 0
          ? { kind: 'absent' }
          : { kind: 'version', version: { era: 0, number: version } },
      value,
    },
  ],
});

const createTableClient = (table: MemoryTable, instanceCount = 1) => {
  const log = new MemoryLog();
  const random = createSeededRandom(7);
  const client = new TableClient({
    table,
    log,
    random,
    countInstances: () => instanceCount,
  });
  return { client, log, random };
};

test.serial(
  'a commit whose response is lost is resolved by a retry with the same token',
  t =>
    withFakeClock(async clock => {
      const table = new MemoryTable();
      const { client } = createTableClient(table);
      table.faults.delayEffects = 1;
      table.faults.delayMs = 3_000;
      table.faults.loseAnswers = 2;
      const commitPromise = client.commitWithRetry(
        createPutTransaction('t-1', 'a'),
      );
      await clock.tickAsync(20_000);
      t.deepEqual((await commitPromise).extract(), { kind: 'committed' });
      t.is(table.listRows('p')[0]?.version.number, 1);
    }),
);

test.serial(
  'a committed transaction that was overwritten is told apart from a conflict',
  t =>
    withFakeClock(async clock => {
      const table = new MemoryTable();
      const random = createSeededRandom(7);
      table.faults.loseAnswers = 1;
      const commitPromise = commitWithRetry({
        table,
        random,
        transaction: createPutTransaction('t-1', 'a'),
      });
      await clock.tickAsync(10);
      table.applyTransaction(createPutTransaction('t-2', 'b', 1));
      await clock.tickAsync(20_000);
      t.deepEqual((await commitPromise).extract(), { kind: 'committed' });

      const conflictingCommit = commitWithRetry({
        table,
        random,
        transaction: createPutTransaction('t-3', 'c', 1),
      });
      t.is(
        (await conflictingCommit).map(({ kind }) => kind).extract(),
        'conflict',
      );
    }),
);

test.serial(
  'a commit without a response before its timeout has an unknown outcome',
  t =>
    withFakeClock(async clock => {
      const table = new MemoryTable();
      table.faults.loseAnswers = 1_000;
      const commitPromise = commitWithRetry({
        table,
        random: createSeededRandom(7),
        transaction: createPutTransaction('t-1', 'a'),
        retryTimeoutMs: 5_000,
      });
      await clock.tickAsync(20_000);
      t.is(getResultCode(await commitPromise), 'platform_unknown');
    }),
);

test.serial(
  'a transaction that was not sent fails without a retry if retries of unsent transactions are off',
  t =>
    withFakeClock(async () => {
      const table = new MemoryTable();
      table.faults.down = true;
      const result = await commitWithRetry({
        table,
        random: createSeededRandom(7),
        transaction: createPutTransaction('t-1', 'a'),
        shouldRetryUnsent: false,
      });
      t.is(getCommitOutcome(result), 'unsent');
    }),
);

test.serial('a refusal after a lost response leaves the outcome unknown', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    table.faults.loseAnswers = 1;
    const commitPromise = commitWithRetry({
      table,
      random: createSeededRandom(7),
      transaction: createPutTransaction('t-1', 'a'),
      shouldRetryUnsent: false,
      retryTimeoutMs: 5_000,
    });
    await clock.tickAsync(10);
    table.faults.down = true;
    await clock.tickAsync(20_000);
    t.is(getCommitOutcome(await commitPromise), 'unsettled');
    t.is(table.listRows('p').length, 1);
  }),
);

/** Returns read results 200 ms after reading the rows. */
class SlowReadTable extends MemoryTable {
  override async readRows(keys: readonly RowKey[]) {
    const result = await super.readRows(keys);
    await sleep(200);
    return result;
  }
}

test.serial('a coalesced read never returns rows read before its call', t =>
  withFakeClock(async clock => {
    const table = new SlowReadTable();
    const { client } = createTableClient(table);
    const earlierRead = client.readRows([rowKey]);
    await clock.tickAsync(10);
    table.applyTransaction(createPutTransaction('t-1', 'a'));
    const coalescedReads = Array.from({ length: 50 }, () =>
      client.readRows([rowKey]),
    );
    await clock.tickAsync(1_000);
    t.is((await earlierRead).map(([row]) => row).extract(), undefined);
    for (const result of await Promise.all(coalescedReads)) {
      t.is(result.map(([row]) => row?.value).extract(), 'a');
    }
    t.is(table.callCounts.read, 2);
  }),
);

test.serial('an instance stays within its share of the write rate', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    const { client } = createTableClient(table, 100);
    const resultCodes: string[] = [];
    const writeSequentially = async (i: number) => {
      for (let n = 0; n < 20; n += 1) {
        const transaction = createPutTransaction(`${i}/${n}`, n);
        resultCodes.push(
          getResultCode(await client.commitTransaction(transaction)),
        );
      }
    };
    const writers = Promise.all(
      Array.from({ length: 10 }, (_, i) => writeSequentially(i)),
    );
    await clock.tickAsync(10_000);
    t.true(
      table.callCounts.commit <= 4 * 10 + 4,
      `${table.callCounts.commit} writes`,
    );
    await clock.tickAsync(120_000);
    await writers;
    t.true(resultCodes.includes('platform_budget'));
  }),
);

test.serial(
  'an outage is logged once, probed at a low rate and its end is detected',
  t =>
    withFakeClock(async clock => {
      const table = new MemoryTable();
      const { client, log } = createTableClient(table);
      table.faults.down = true;
      const pollRepeatedly = async () => {
        for (let n = 0; n < 600; n += 1) {
          await client.readRows([{ partition: 'p', sort: String(n) }]);
          await new Promise(resolve => setTimeout(resolve, 100));
        }
      };
      const pollPromise = pollRepeatedly();
      await clock.tickAsync(30_000);
      t.false(client.isPlatformUp);
      const { reads } = client.callCounts;
      t.true(reads < 70, `${reads} reads reached a table that is down`);
      table.faults.down = false;
      await clock.tickAsync(2_000);
      t.true(client.isPlatformUp);
      await clock.tickAsync(60_000);
      await pollPromise;
      const names = log.entries.map(({ name }) => name);
      t.deepEqual(names, ['platform_down', 'platform_up']);
    }),
);
