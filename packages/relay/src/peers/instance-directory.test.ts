import FakeTimers from '@sinonjs/fake-timers';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';

import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { InstanceDirectory } from './instance-directory.js';

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
      const rows = new InstanceDirectory({
        table,
        name,
        address: `10.0.0.1:${port}`,
        random: () => port / 10,
        log: createMemoryLog(),
      });
      void rows.run(stop.signal);
      return rows;
    };
    const one = rowsOf('one', 1);
    await clock.tickAsync(3_000);
    t.deepEqual(one.peerAddresses, []);
    const two = rowsOf('two', 2);
    await clock.tickAsync(3_000);
    t.deepEqual(two.peerAddresses, ['10.0.0.1:1']);
    await clock.tickAsync(25_000);
    t.deepEqual(one.peerAddresses, ['10.0.0.1:2']);
    t.deepEqual(one.instanceNames, ['one', 'two']);
  },
);
