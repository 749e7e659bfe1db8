import FakeTimers from '@sinonjs/fake-timers';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';

import { aLog } from '../fixtures/relay-fixtures.js';

import { InstanceRows } from './instance-directory.js';

test.serial(
  'instances that know nobody find each other by their rows',
  async t => {
    const clock = FakeTimers.install({ now: 0 });
    const stop = new AbortController();
    t.teardown(() => {
      stop.abort();
      clock.uninstall();
    });
    const table = new MemoryTable();
    const rowsOf = (name: string, port: number) => {
      const rows = new InstanceRows({
        table,
        name,
        address: `10.0.0.1:${port}`,
        random: () => port / 10,
        log: aLog(),
      });
      void rows.run(stop.signal);
      return rows;
    };
    const one = rowsOf('one', 1);
    await clock.tickAsync(3_000);
    t.deepEqual(one.contacts, []);
    const two = rowsOf('two', 2);
    await clock.tickAsync(3_000);
    t.deepEqual(two.contacts, ['10.0.0.1:1']);
    await clock.tickAsync(25_000);
    t.deepEqual(one.contacts, ['10.0.0.1:2']);
    t.deepEqual(one.names, ['one', 'two']);
  },
);
