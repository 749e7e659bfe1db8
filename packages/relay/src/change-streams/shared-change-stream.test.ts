import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import { RelayedFeed } from './shared-change-stream.js';
import type { RelayedPage } from './shared-change-stream.js';
import { RowFeed } from './change-stream.js';
import type { FeedRow } from './change-stream.js';

const row = (key: string, position: number): FeedRow => ({
  key,
  position,
  value: Buffer.from(key),
});

/** The platform: it counts what it is asked. */
class CountingFeed extends RowFeed {
  readonly name = 'rows';
  readonly asked: { after: number; waitMs: number }[] = [];
  rows: FeedRow[] = [];

  override list() {
    return Promise.resolve(Right({ rows: this.rows, position: 0 }));
  }

  override async changes(after: number, waitMs: number) {
    this.asked.push({ after, waitMs });
    const found = () => this.rows.filter(({ position }) => position > after);
    if (found().length === 0) {
      await new Promise(resolve => setTimeout(resolve, waitMs));
    }
    const position = Math.max(after, ...this.rows.map(one => one.position));
    return Right({ rows: found(), position });
  }
}

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const feed = new CountingFeed();
  const published: RelayedPage[] = [];
  const role = { hub: false };
  const relayed = new RelayedFeed({
    feed,
    isHub: () => role.hub,
    publish: page => published.push(page),
  });
  return { clock, feed, published, role, relayed };
};

const page = (after: number, position: number): RelayedPage => ({
  after,
  position,
  rows: position > after ? [row(`r${position}`, position)] : [],
});

test.serial('without a hub the platform is asked', async t => {
  const { clock, feed, relayed } = setUp(t);
  const asked = relayed.changes(3, 2_000);
  await clock.tickAsync(2_000);
  await asked;
  t.deepEqual(feed.asked, [{ after: 3, waitMs: 2_000 }]);
});

test.serial('what the hub tells arrives without a question', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.take(page(3, 3));
  const asked = relayed.changes(3, 2_000);
  await clock.tickAsync(600);
  relayed.take(page(3, 3));
  await clock.tickAsync(600);
  relayed.take(page(3, 5));
  const told = (await asked).unsafeCoerce();
  t.is(told === 'expired' ? '' : told.rows[0]?.key, 'r5');
  t.deepEqual(feed.asked, []);
});

test.serial('a hub that falls silent is not waited for', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.take(page(3, 3));
  void relayed.changes(3, 2_000);
  await clock.tickAsync(1_250);
  t.is(feed.asked.length, 0);
  await clock.tickAsync(100);
  t.is(feed.asked.length, 1);
});

test.serial('something missed is asked for at once', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.take(page(3, 3));
  const asked = relayed.changes(3, 2_000);
  await clock.tickAsync(100);
  feed.rows = [row('a', 4), row('b', 6)];
  relayed.take(page(5, 6));
  const found = (await asked).unsafeCoerce();
  t.is(found === 'expired' ? 0 : found.rows.length, 2);
});

test.serial('what was told between two questions is not lost', async t => {
  const { feed, relayed } = setUp(t);
  relayed.take(page(3, 4));
  relayed.take(page(4, 6));
  feed.rows = [row('r4', 4), row('r6', 6)];
  const found = (await relayed.changes(3, 2_000)).unsafeCoerce();
  t.is(found === 'expired' ? 0 : found.rows.length, 2);
  t.is(feed.asked.length, 1);
});

test.serial('a hub that is behind does not hold an instance back', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.take(page(3, 3));
  void relayed.changes(9, 2_000);
  await clock.tickAsync(1);
  t.is(feed.asked.length, 1);
});

test.serial('a hub asks often and passes on each answer', async t => {
  const { clock, feed, published, role, relayed } = setUp(t);
  role.hub = true;
  const quiet = relayed.changes(3, 5_000);
  await clock.tickAsync(1_000);
  await quiet;
  t.true((feed.asked[0]?.waitMs ?? Infinity) < 1_300 / 1.5);
  feed.rows = [row('a', 4)];
  await relayed.changes(3, 5_000);
  t.deepEqual(
    published.map(({ after, position }) => [after, position]),
    [
      [3, 3],
      [3, 4],
    ],
  );
});
