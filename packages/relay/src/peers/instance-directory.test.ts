import FakeTimers from '@sinonjs/fake-timers';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';

import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { InstanceDirectory } from './instance-directory.js';

test.serial(
  'instances without known peers find each other through their rows',
  async t => {
    const clock = FakeTimers.install({ now: 0 });
    const stop = new AbortController();
    t.teardown(() => {
      stop.abort();
      clock.uninstall();
    });
    const table = new MemoryTable();
    const startDirectory = (name: string, port: number) => {
      const directory = new InstanceDirectory({
        table,
        name,
        address: `10.0.0.1:${port}`,
        random: () => port / 10,
        log: createMemoryLog(),
      });
      void directory.run(stop.signal);
      return directory;
    };
    const first = startDirectory('one', 1);
    await clock.tickAsync(3_000);
    t.deepEqual(first.peerAddresses, []);
    t.false(first.isSettled);
    const second = startDirectory('two', 2);
    await clock.tickAsync(3_000);
    t.deepEqual(second.peerAddresses, ['10.0.0.1:1']);
    await clock.tickAsync(25_000);
    t.deepEqual(first.peerAddresses, ['10.0.0.1:2']);
    t.deepEqual(first.instanceNames, ['one', 'two']);
    t.true(first.isSettled);
  },
);

test.serial(
  'an odd row of an instance is logged and gives no address to contact',
  async t => {
    const clock = FakeTimers.install({ now: 0 });
    const stop = new AbortController();
    t.teardown(() => {
      stop.abort();
      clock.uninstall();
    });
    const table = new MemoryTable();
    const values = [
      { address: '10.0.0.1:65536' },
      { address: '10.0.0.1' },
      { address: 'a b:1' },
      { address: 1e308 },
      'text',
      null,
    ];
    const writeRow = (name: string, value: unknown) =>
      table.commitTransaction({
        token: name,
        writes: [
          {
            kind: 'put',
            key: { partition: 'instances', sort: name },
            condition: { kind: 'any' },
            value,
          },
        ],
      });
    for (const [i, value] of values.entries()) await writeRow(`${i}`, value);
    await writeRow('two', { address: '10.0.0.1:2' });
    const log = createMemoryLog();
    const directory = new InstanceDirectory({
      table,
      name: 'one',
      address: '10.0.0.1:1',
      random: () => 0,
      log,
    });
    void directory.run(stop.signal);
    await clock.tickAsync(3_000);
    t.deepEqual(directory.peerAddresses, ['10.0.0.1:2']);
    t.deepEqual(
      log.entries
        .filter(({ name }) => name === 'row_unreadable')
        .map(({ fields }) => fields.row),
      values.map((_, i) => `${i}`),
    );
  },
);
