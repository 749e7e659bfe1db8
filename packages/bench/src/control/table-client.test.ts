import {
  MemoryLog,
  settle,
  settledKind,
  sleep,
  TableClient,
} from '@medlarlever/core';
import type { RowKey, Transaction } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';

import { outcomeOf, withPausedClock } from './fixtures.js';
import { seededRandom } from '../shared/seeded-random.js';

const key: RowKey = { partition: 'p', sort: 's' };

const createPut = (
  token: string,
  value: unknown,
  version = 0,
): Transaction => ({
  token,
  writes: [
    {
      kind: 'put',
      key,
      condition:
        version === 0 ? { kind: 'absent' } : { kind: 'version', version },
      value,
    },
  ],
});

const createClient = (table: MemoryTable, instances = 1) => {
  const log = new MemoryLog();
  const random = seededRandom(7);
  const client = new TableClient({
    table,
    log,
    random,
    instances: () => instances,
  });
  return { client, log, random };
};

test.serial('a lost answer is settled by the same token alone', t =>
  withPausedClock(async clock => {
    const table = new MemoryTable();
    const { client } = createClient(table);
    table.faults.delayEffects = 1;
    table.faults.delayMs = 3_000;
    table.faults.loseAnswers = 2;
    const settling = client.settle(createPut('t-1', 'a'));
    await clock.tickAsync(20_000);
    t.deepEqual((await settling).extract(), { kind: 'committed' });
    t.is(table.rows('p')[0]?.version, 1);
  }),
);

test.serial('a transaction that was overtaken is told apart from its own', t =>
  withPausedClock(async clock => {
    const table = new MemoryTable();
    const random = seededRandom(7);
    table.faults.loseAnswers = 1;
    const settling = settle({
      table,
      random,
      transaction: createPut('t-1', 'a'),
    });
    await clock.tickAsync(10);
    table.apply(createPut('t-2', 'b', 1));
    await clock.tickAsync(20_000);
    t.deepEqual((await settling).extract(), { kind: 'committed' });

    const late = settle({
      table,
      random,
      transaction: createPut('t-3', 'c', 1),
    });
    t.is((await late).map(({ kind }) => kind).extract(), 'conflict');
  }),
);

test.serial('without an answer in time the end stays unknown', t =>
  withPausedClock(async clock => {
    const table = new MemoryTable();
    table.faults.loseAnswers = 1_000;
    const settling = settle({
      table,
      random: seededRandom(7),
      transaction: createPut('t-1', 'a'),
      patienceMs: 5_000,
    });
    await clock.tickAsync(20_000);
    t.is(outcomeOf(await settling), 'platform_unknown');
  }),
);

test.serial('a transaction that was not taken is given up at once', t =>
  withPausedClock(async () => {
    const table = new MemoryTable();
    table.faults.down = true;
    const ended = await settle({
      table,
      random: seededRandom(7),
      transaction: createPut('t-1', 'a'),
      repeatsRefused: false,
    });
    t.is(settledKind(ended), 'unsent');
  }),
);

test.serial('a refusal after a lost answer leaves the end unknown', t =>
  withPausedClock(async clock => {
    const table = new MemoryTable();
    table.faults.loseAnswers = 1;
    const settling = settle({
      table,
      random: seededRandom(7),
      transaction: createPut('t-1', 'a'),
      repeatsRefused: false,
      patienceMs: 5_000,
    });
    await clock.tickAsync(10);
    table.faults.down = true;
    await clock.tickAsync(20_000);
    t.is(settledKind(await settling), 'unsettled');
    t.is(table.rows('p').length, 1);
  }),
);

/** Answers reads some time after it looked at the rows. */
class LateTable extends MemoryTable {
  override async read(keys: readonly RowKey[]) {
    const answer = await super.read(keys);
    await sleep(200);
    return answer;
  }
}

test.serial('a joined read never answers from before it was asked', t =>
  withPausedClock(async clock => {
    const table = new LateTable();
    const { client } = createClient(table);
    const early = client.read([key]);
    await clock.tickAsync(10);
    table.apply(createPut('t-1', 'a'));
    const joined = Array.from({ length: 50 }, () => client.read([key]));
    await clock.tickAsync(1_000);
    t.is((await early).map(([row]) => row).extract(), undefined);
    for (const answer of await Promise.all(joined)) {
      t.is(answer.map(([row]) => row?.value).extract(), 'a');
    }
    t.is(table.calls.read, 2);
  }),
);

test.serial('an instance keeps to its share of the write rate', t =>
  withPausedClock(async clock => {
    const table = new MemoryTable();
    const { client } = createClient(table, 100);
    const answers: string[] = [];
    const writer = async (i: number) => {
      for (let n = 0; n < 20; n += 1) {
        const write = createPut(`${i}/${n}`, n);
        answers.push(outcomeOf(await client.commit(write)));
      }
    };
    const writers = Promise.all(
      Array.from({ length: 10 }, (_, i) => writer(i)),
    );
    await clock.tickAsync(10_000);
    t.true(table.calls.commit <= 4 * 10 + 4, `${table.calls.commit} writes`);
    await clock.tickAsync(120_000);
    await writers;
    t.true(answers.includes('platform_budget'));
  }),
);

test.serial(
  'an outage is noticed once, probed sparsely and ends by itself',
  t =>
    withPausedClock(async clock => {
      const table = new MemoryTable();
      const { client, log } = createClient(table);
      table.faults.down = true;
      const poll = async () => {
        for (let n = 0; n < 600; n += 1) {
          await client.read([{ partition: 'p', sort: String(n) }]);
          await new Promise(resolve => setTimeout(resolve, 100));
        }
      };
      const polling = poll();
      await clock.tickAsync(30_000);
      t.false(client.up);
      const { reads } = client.counts;
      t.true(reads < 70, `${reads} reads reached a table that is down`);
      table.faults.down = false;
      await clock.tickAsync(2_000);
      t.true(client.up);
      await clock.tickAsync(60_000);
      await polling;
      const names = log.entries.map(({ name }) => name);
      t.deepEqual(names, ['platform_down', 'platform_up']);
    }),
);
