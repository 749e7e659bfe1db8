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
        version === 0 ? { kind: 'absent' } : { kind: 'version', version },
      value,
    },
  ],
});

const createTableClient = (table: MemoryTable, instances = 1) => {
  const log = new MemoryLog();
  const random = createSeededRandom(7);
  const client = new TableClient({
    table,
    log,
    random,
    countInstances: () => instances,
  });
  return { client, log, random };
};

test.serial('a lost answer is settled by the same token alone', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    const { client } = createTableClient(table);
    table.faults.delayEffects = 1;
    table.faults.delayMs = 3_000;
    table.faults.loseAnswers = 2;
    const settling = client.commitWithRetry(createPutTransaction('t-1', 'a'));
    await clock.tickAsync(20_000);
    t.deepEqual((await settling).extract(), { kind: 'committed' });
    t.is(table.listRows('p')[0]?.version, 1);
  }),
);

test.serial('a transaction that was overtaken is told apart from its own', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    const random = createSeededRandom(7);
    table.faults.loseAnswers = 1;
    const settling = commitWithRetry({
      table,
      random,
      transaction: createPutTransaction('t-1', 'a'),
    });
    await clock.tickAsync(10);
    table.applyTransaction(createPutTransaction('t-2', 'b', 1));
    await clock.tickAsync(20_000);
    t.deepEqual((await settling).extract(), { kind: 'committed' });

    const late = commitWithRetry({
      table,
      random,
      transaction: createPutTransaction('t-3', 'c', 1),
    });
    t.is((await late).map(({ kind }) => kind).extract(), 'conflict');
  }),
);

test.serial('without an answer in time the end stays unknown', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    table.faults.loseAnswers = 1_000;
    const settling = commitWithRetry({
      table,
      random: createSeededRandom(7),
      transaction: createPutTransaction('t-1', 'a'),
      retryTimeoutMs: 5_000,
    });
    await clock.tickAsync(20_000);
    t.is(getResultCode(await settling), 'platform_unknown');
  }),
);

test.serial('a transaction that was not taken is given up at once', t =>
  withFakeClock(async () => {
    const table = new MemoryTable();
    table.faults.down = true;
    const ended = await commitWithRetry({
      table,
      random: createSeededRandom(7),
      transaction: createPutTransaction('t-1', 'a'),
      shouldRetryUnsent: false,
    });
    t.is(getCommitOutcome(ended), 'unsent');
  }),
);

test.serial('a refusal after a lost answer leaves the end unknown', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    table.faults.loseAnswers = 1;
    const settling = commitWithRetry({
      table,
      random: createSeededRandom(7),
      transaction: createPutTransaction('t-1', 'a'),
      shouldRetryUnsent: false,
      retryTimeoutMs: 5_000,
    });
    await clock.tickAsync(10);
    table.faults.down = true;
    await clock.tickAsync(20_000);
    t.is(getCommitOutcome(await settling), 'unsettled');
    t.is(table.listRows('p').length, 1);
  }),
);

/** Answers reads some time after it looked at the rows. */
class SlowReadTable extends MemoryTable {
  override async readRows(keys: readonly RowKey[]) {
    const answer = await super.readRows(keys);
    await sleep(200);
    return answer;
  }
}

test.serial('a joined read never answers from before it was asked', t =>
  withFakeClock(async clock => {
    const table = new SlowReadTable();
    const { client } = createTableClient(table);
    const early = client.readRows([rowKey]);
    await clock.tickAsync(10);
    table.applyTransaction(createPutTransaction('t-1', 'a'));
    const joined = Array.from({ length: 50 }, () => client.readRows([rowKey]));
    await clock.tickAsync(1_000);
    t.is((await early).map(([row]) => row).extract(), undefined);
    for (const answer of await Promise.all(joined)) {
      t.is(answer.map(([row]) => row?.value).extract(), 'a');
    }
    t.is(table.callCounts.read, 2);
  }),
);

test.serial('an instance keeps to its share of the write rate', t =>
  withFakeClock(async clock => {
    const table = new MemoryTable();
    const { client } = createTableClient(table, 100);
    const answers: string[] = [];
    const writer = async (i: number) => {
      for (let n = 0; n < 20; n += 1) {
        const write = createPutTransaction(`${i}/${n}`, n);
        answers.push(getResultCode(await client.commitTransaction(write)));
      }
    };
    const writers = Promise.all(
      Array.from({ length: 10 }, (_, i) => writer(i)),
    );
    await clock.tickAsync(10_000);
    t.true(
      table.callCounts.commit <= 4 * 10 + 4,
      `${table.callCounts.commit} writes`,
    );
    await clock.tickAsync(120_000);
    await writers;
    t.true(answers.includes('platform_budget'));
  }),
);

test.serial(
  'an outage is noticed once, probed sparsely and ends by itself',
  t =>
    withFakeClock(async clock => {
      const table = new MemoryTable();
      const { client, log } = createTableClient(table);
      table.faults.down = true;
      const poll = async () => {
        for (let n = 0; n < 600; n += 1) {
          await client.readRows([{ partition: 'p', sort: String(n) }]);
          await new Promise(resolve => setTimeout(resolve, 100));
        }
      };
      const polling = poll();
      await clock.tickAsync(30_000);
      t.false(client.isUp);
      const { reads } = client.callCounts;
      t.true(reads < 70, `${reads} reads reached a table that is down`);
      table.faults.down = false;
      await clock.tickAsync(2_000);
      t.true(client.isUp);
      await clock.tickAsync(60_000);
      await polling;
      const names = log.entries.map(({ name }) => name);
      t.deepEqual(names, ['platform_down', 'platform_up']);
    }),
);
