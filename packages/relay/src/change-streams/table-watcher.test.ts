import FakeTimers from '@sinonjs/fake-timers';
import { Failure } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { TableWatcher } from './table-watcher.js';
import { ChangeStream } from './change-stream.js';
import type { ChangesResult, ChangePage, ChangedRow } from './change-stream.js';

type StreamState = 'up' | 'down' | 'expired';

class FakeChangeStream extends ChangeStream {
  readonly name = 'rows';
  state: StreamState = 'up';
  rows: ChangedRow[] = [];
  listCount = 0;

  override listRows(): Promise<Either<Failure, ChangePage>> {
    this.listCount += 1;
    if (this.state === 'down')
      return Promise.resolve(Left(createUnavailableFailure()));
    const rows = this.rows.filter(row => row.value !== undefined);
    return Promise.resolve(Right({ rows, position: this.position }));
  }

  override async waitForChanges(
    after: number,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>> {
    if (this.state === 'down') return Left(createUnavailableFailure());
    if (this.state === 'expired') {
      this.state = 'up';
      return Right('expired');
    }
    await new Promise(resolve => setTimeout(resolve, Math.min(100, waitMs)));
    const rows = this.rows.filter(row => row.position > after);
    return Right({ rows, position: this.position });
  }

  get position(): number {
    return Math.max(0, ...this.rows.map(row => row.position));
  }
}

const createUnavailableFailure = () =>
  new Failure('platform_unavailable', 'no answer');

const createRow = (key: string, position: number, value = 'v'): ChangedRow => ({
  key,
  position,
  value: Buffer.from(value),
});

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
    clock.uninstall();
  });
  const feed = new FakeChangeStream();
  const log = createMemoryLog();
  const seen: string[] = [];
  const lists: { keys: string[]; afterOutage: boolean }[] = [];
  const follower = new TableWatcher({
    changeStream: feed,
    log,
    random: () => 0.5,
    waitMs: 1_500,
    onRowChange: ({ key, value }) =>
      seen.push(`${key}=${value?.toString() ?? ''}`),
    onSnapshot: (keys, afterOutage) =>
      lists.push({ keys: [...keys], afterOutage }),
  });
  void follower.run(stop.signal);
  return { clock, feed, log, seen, lists, follower };
};

test.serial('rows are read once and then followed', async t => {
  const { clock, feed, seen } = setUp(t);
  feed.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  feed.rows = [createRow('a', 1), createRow('b', 2)];
  await clock.tickAsync(200);
  t.deepEqual(seen, ['a=v', 'b=v']);
  t.is(feed.listCount, 1);
});

test.serial('a removed row is told and no longer held', async t => {
  const { clock, feed, seen, follower } = setUp(t);
  feed.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  feed.rows = [{ key: 'a', position: 2, value: undefined }];
  await clock.tickAsync(200);
  t.deepEqual(seen, ['a=v', 'a=']);
  t.false(follower.hasRow('a'));
});

test.serial('lost history makes it read everything again', async t => {
  const { clock, feed, lists, log } = setUp(t);
  feed.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  feed.state = 'expired';
  feed.rows = [createRow('b', 5)];
  await clock.tickAsync(300);
  t.deepEqual(lists.at(-1)?.keys, ['b']);
  t.true(log.entries.some(({ name }) => name === 'feed_expired'));
});

test.serial('a list older than what is known takes nothing back', async t => {
  const { clock, feed, seen, lists } = setUp(t);
  feed.rows = [createRow('a', 7, 'new')];
  await clock.tickAsync(200);
  const before = lists.length;
  feed.state = 'expired';
  feed.rows = [createRow('a', 3, 'old')];
  await clock.tickAsync(300);
  t.deepEqual(seen, ['a=new']);
  t.is(lists.length, before);
});

test.serial(
  'an outage is told once and tried again in growing steps',
  async t => {
    const { clock, feed, log, seen } = setUp(t);
    feed.rows = [createRow('a', 1)];
    await clock.tickAsync(200);
    feed.state = 'down';
    await clock.tickAsync(5_000);
    feed.state = 'up';
    feed.rows = [createRow('a', 1), createRow('b', 2)];
    await clock.tickAsync(1_500);
    const names = log.entries.map(({ name }) => name);
    t.is(names.filter(name => name === 'platform_down').length, 1);
    t.true(names.includes('platform_up'));
    t.deepEqual(seen, ['a=v', 'b=v']);
  },
);
