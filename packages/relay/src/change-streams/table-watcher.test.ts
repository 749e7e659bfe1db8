import FakeTimers from '@sinonjs/fake-timers';
import { Failure } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { aLog } from '../fixtures/relay-fixtures.js';

import { FeedFollower } from './table-watcher.js';
import { RowFeed } from './change-stream.js';
import type { FeedChanges, FeedPage, FeedRow } from './change-stream.js';

type Mood = 'up' | 'down' | 'expired';

class FakeFeed extends RowFeed {
  readonly name = 'rows';
  mood: Mood = 'up';
  rows: FeedRow[] = [];
  lists = 0;

  override list(): Promise<Either<Failure, FeedPage>> {
    this.lists += 1;
    if (this.mood === 'down') return Promise.resolve(Left(noAnswer()));
    const rows = this.rows.filter(row => row.value !== undefined);
    return Promise.resolve(Right({ rows, position: this.position }));
  }

  override async changes(
    after: number,
    waitMs: number,
  ): Promise<Either<Failure, FeedChanges>> {
    if (this.mood === 'down') return Left(noAnswer());
    if (this.mood === 'expired') {
      this.mood = 'up';
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

const noAnswer = () => new Failure('platform_unavailable', 'no answer');

const row = (key: string, position: number, value = 'v'): FeedRow => ({
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
  const feed = new FakeFeed();
  const log = aLog();
  const seen: string[] = [];
  const lists: { keys: string[]; afterOutage: boolean }[] = [];
  const follower = new FeedFollower({
    feed,
    log,
    random: () => 0.5,
    waitMs: 1_500,
    onRow: ({ key, value }) => seen.push(`${key}=${value?.toString() ?? ''}`),
    onList: (keys, afterOutage) => lists.push({ keys: [...keys], afterOutage }),
  });
  void follower.run(stop.signal);
  return { clock, feed, log, seen, lists, follower };
};

test.serial('rows are read once and then followed', async t => {
  const { clock, feed, seen } = setUp(t);
  feed.rows = [row('a', 1)];
  await clock.tickAsync(200);
  feed.rows = [row('a', 1), row('b', 2)];
  await clock.tickAsync(200);
  t.deepEqual(seen, ['a=v', 'b=v']);
  t.is(feed.lists, 1);
});

test.serial('a removed row is told and no longer held', async t => {
  const { clock, feed, seen, follower } = setUp(t);
  feed.rows = [row('a', 1)];
  await clock.tickAsync(200);
  feed.rows = [{ key: 'a', position: 2, value: undefined }];
  await clock.tickAsync(200);
  t.deepEqual(seen, ['a=v', 'a=']);
  t.false(follower.holds('a'));
});

test.serial('lost history makes it read everything again', async t => {
  const { clock, feed, lists, log } = setUp(t);
  feed.rows = [row('a', 1)];
  await clock.tickAsync(200);
  feed.mood = 'expired';
  feed.rows = [row('b', 5)];
  await clock.tickAsync(300);
  t.deepEqual(lists.at(-1)?.keys, ['b']);
  t.true(log.entries.some(({ name }) => name === 'feed_expired'));
});

test.serial('a list older than what is known takes nothing back', async t => {
  const { clock, feed, seen, lists } = setUp(t);
  feed.rows = [row('a', 7, 'new')];
  await clock.tickAsync(200);
  const before = lists.length;
  feed.mood = 'expired';
  feed.rows = [row('a', 3, 'old')];
  await clock.tickAsync(300);
  t.deepEqual(seen, ['a=new']);
  t.is(lists.length, before);
});

test.serial(
  'an outage is told once and tried again in growing steps',
  async t => {
    const { clock, feed, log, seen } = setUp(t);
    feed.rows = [row('a', 1)];
    await clock.tickAsync(200);
    feed.mood = 'down';
    await clock.tickAsync(5_000);
    feed.mood = 'up';
    feed.rows = [row('a', 1), row('b', 2)];
    await clock.tickAsync(1_500);
    const names = log.entries.map(({ name }) => name);
    t.is(names.filter(name => name === 'platform_down').length, 1);
    t.true(names.includes('platform_up'));
    t.deepEqual(seen, ['a=v', 'b=v']);
  },
);
