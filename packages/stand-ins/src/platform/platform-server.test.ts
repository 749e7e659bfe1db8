/**
 * Tests the HTTP clients of the platform against the simulated platform server.
 */
import { HttpFleetList, HttpObjectStore, HttpTable } from '@medlarlever/core';
import type { FleetMember, Transaction, Write } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { listen } from '../shared/fake-server.js';

import { createPlatform, createPlatformServer } from './platform-server.js';

const startPlatform = async (t: ExecutionContext) => {
  const platform = createPlatform({
    fleetLagMs: 0,
    weightBytes: 1,
    weightBytesPerSecond: 1,
  });
  const app = createPlatformServer(platform);
  const url = `http://${await listen(app, '127.0.0.1', 0)}`;
  const table = new HttpTable({ url, tableName: 'state', timeoutMs: 500 });
  t.teardown(async () => {
    await table.close();
    await app.close();
  });
  return { platform, app, url, table };
};

const createPutWrite = (
  sort: string,
  value: unknown,
  condition: Write['condition'] = { kind: 'any' },
): Write => ({ kind: 'put', key: { partition: 'p', sort }, condition, value });

const createTransaction = (token: string, ...writes: Write[]): Transaction => ({
  token,
  writes,
});

test('transactions, conditions and scans work over HTTP', async t => {
  const { table } = await startPlatform(t);
  const absent = { kind: 'absent' } as const;
  await table.commitTransaction(
    createTransaction(
      't1',
      createPutWrite('a', { n: 1 }, absent),
      createPutWrite('b', 2),
    ),
  );
  await table.commitTransaction(
    createTransaction('t2', createPutWrite('a', { n: 2 })),
  );
  const repeated = await table.commitTransaction(
    createTransaction('t2', createPutWrite('a', { n: 2 })),
  );
  t.deepEqual(repeated.extract(), { kind: 'committed' });

  const row = {
    partition: 'p',
    sort: 'a',
    version: { era: 0, number: 2 },
    token: 't2',
    value: { n: 2 },
  };
  const conflict = await table.commitTransaction(
    createTransaction(
      't3',
      createPutWrite('a', 9, {
        kind: 'version',
        version: { era: 0, number: 1 },
      }),
      createPutWrite('c', 3),
    ),
  );
  t.deepEqual(conflict.extract(), { kind: 'conflict', rows: [row, undefined] });

  await table.commitTransaction(
    createTransaction('t4', createPutWrite('ab', 4), createPutWrite('ac', 5)),
  );
  const scan = await table.scanPartition('p', {
    prefix: 'a',
    after: 'a',
    limit: 1,
  });
  t.deepEqual(
    scan.orDefault([]).map(({ sort }) => sort),
    ['ab'],
  );
});

test('a write fails as unavailable only when it certainly had no effect', async t => {
  const { table, platform, app } = await startPlatform(t);
  platform.table.faults.loseAnswers = 1;
  const lostOutcome = await table.commitTransaction(
    createTransaction('t1', createPutWrite('a', 1)),
  );
  t.like(lostOutcome.extract(), {
    code: 'platform_unknown',
    executed: 'unknown',
  });
  t.is(platform.table.listRows('p')[0]?.token, 't1');

  platform.table.faults.slowMs = 1_000;
  const slowOutcome = await table.commitTransaction(
    createTransaction('t2', createPutWrite('a', 2)),
  );
  t.like(slowOutcome.extract(), { code: 'platform_unknown' });
  platform.table.faults.slowMs = 0;

  platform.table.faults.down = true;
  const downOutcome = await table.commitTransaction(
    createTransaction('t3', createPutWrite('a', 3)),
  );
  t.like(downOutcome.extract(), {
    code: 'platform_unavailable',
    executed: 'no',
  });

  await app.close();
  const refusedOutcome = await table.commitTransaction(
    createTransaction('t4', createPutWrite('a', 4)),
  );
  t.like(refusedOutcome.extract(), { code: 'platform_unavailable' });
});

test('objects and fleet members are read as they were written', async t => {
  const { url, platform } = await startPlatform(t);
  const objects = new HttpObjectStore({ url, bucket: 'medlar' });
  t.teardown(() => objects.close());
  const body = new Uint8Array([0, 255, 10]);
  await objects.putObject('template/a b', body);
  const readBody = (await objects.getObject('template/a b')).toMaybe().join();
  t.deepEqual([...readBody.orDefault(new Uint8Array())], [...body]);
  t.true(
    (await objects.getObject('none')).map(o => o.isNothing()).orDefault(false),
  );

  const member: FleetMember = {
    name: 'booking-1',
    kind: 'service',
    dataCenter: 'dc-2',
    incarnation: 'i7',
    address: '127.0.0.1:9',
    state: 'leaving',
    service: 'booking',
  };
  platform.fleet.replaceMembers([member]);
  const listedMembers = await new HttpFleetList({
    url: `${url}/fleet`,
  }).listMembers();
  t.deepEqual(listedMembers.extract(), [member]);
});
