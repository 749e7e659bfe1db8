import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import { MemoryLog } from '../shared/log.js';

import { LimitLog } from './limit-log.js';

// Guards against a line for each of the thousands of connections that a crowd has closed.
test.serial('closed connections are counted in a line a second', t => {
  const clock = install();
  t.teardown(() => {
    clock.uninstall();
  });
  const log = new MemoryLog();
  const limitLog = new LimitLog(log, 'callers');
  const readCounts = () => log.entries.map(({ fields }) => fields.closed);
  for (let i = 0; i < 500; i += 1) limitLog.record('connections');
  t.deepEqual(readCounts(), [1]);
  clock.tick(1_000);
  t.deepEqual(readCounts(), [1, 499]);
  clock.tick(5_000);
  limitLog.record('connections');
  t.deepEqual(readCounts(), [1, 499, 1]);
  limitLog.record('input');
  t.deepEqual(readCounts(), [1, 499, 1, 1]);
});
