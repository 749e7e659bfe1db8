import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import { SharedChangeStream } from './shared-change-stream.js';
import type { SharedChangePage } from './shared-change-stream.js';
import { ChangeStream } from './change-stream.js';
import type { ChangedRow } from './change-stream.js';

const createRow = (key: string, position: number): ChangedRow => ({
  key,
  position,
  value: Buffer.from(key),
});

/** The platform: it counts what it is asked. */
class RecordingChangeStream extends ChangeStream {
  readonly name = 'rows';
  readonly requestedChanges: { after: number; waitMs: number }[] = [];
  rows: ChangedRow[] = [];

  override listRows() {
    return Promise.resolve(Right({ rows: this.rows, position: 0 }));
  }

  override async waitForChanges(after: number, waitMs: number) {
    this.requestedChanges.push({ after, waitMs });
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
  const feed = new RecordingChangeStream();
  const published: SharedChangePage[] = [];
  const role = { hub: false };
  const relayed = new SharedChangeStream({
    changeStream: feed,
    isAggregator: () => role.hub,
    publishPage: page => published.push(page),
  });
  return { clock, feed, published, role, relayed };
};

const createPage = (after: number, position: number): SharedChangePage => ({
  after,
  position,
  rows: position > after ? [createRow(`r${position}`, position)] : [],
});

test.serial('without a hub the platform is asked', async t => {
  const { clock, feed, relayed } = setUp(t);
  const asked = relayed.waitForChanges(3, 2_000);
  await clock.tickAsync(2_000);
  await asked;
  t.deepEqual(feed.requestedChanges, [{ after: 3, waitMs: 2_000 }]);
});

test.serial('what the hub tells arrives without a question', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.receivePage(createPage(3, 3));
  const asked = relayed.waitForChanges(3, 2_000);
  await clock.tickAsync(600);
  relayed.receivePage(createPage(3, 3));
  await clock.tickAsync(600);
  relayed.receivePage(createPage(3, 5));
  const told = (await asked).unsafeCoerce();
  t.is(told === 'expired' ? '' : told.rows[0]?.key, 'r5');
  t.deepEqual(feed.requestedChanges, []);
});

test.serial('a hub that falls silent is not waited for', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.receivePage(createPage(3, 3));
  void relayed.waitForChanges(3, 2_000);
  await clock.tickAsync(1_250);
  t.is(feed.requestedChanges.length, 0);
  await clock.tickAsync(100);
  t.is(feed.requestedChanges.length, 1);
});

test.serial('something missed is asked for at once', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.receivePage(createPage(3, 3));
  const asked = relayed.waitForChanges(3, 2_000);
  await clock.tickAsync(100);
  feed.rows = [createRow('a', 4), createRow('b', 6)];
  relayed.receivePage(createPage(5, 6));
  const found = (await asked).unsafeCoerce();
  t.is(found === 'expired' ? 0 : found.rows.length, 2);
});

test.serial('what was told between two questions is not lost', async t => {
  const { feed, relayed } = setUp(t);
  relayed.receivePage(createPage(3, 4));
  relayed.receivePage(createPage(4, 6));
  feed.rows = [createRow('r4', 4), createRow('r6', 6)];
  const found = (await relayed.waitForChanges(3, 2_000)).unsafeCoerce();
  t.is(found === 'expired' ? 0 : found.rows.length, 2);
  t.is(feed.requestedChanges.length, 1);
});

test.serial('a hub that is behind does not hold an instance back', async t => {
  const { clock, feed, relayed } = setUp(t);
  relayed.receivePage(createPage(3, 3));
  void relayed.waitForChanges(9, 2_000);
  await clock.tickAsync(1);
  t.is(feed.requestedChanges.length, 1);
});

test.serial('a hub asks often and passes on each answer', async t => {
  const { clock, feed, published, role, relayed } = setUp(t);
  role.hub = true;
  const quiet = relayed.waitForChanges(3, 5_000);
  await clock.tickAsync(1_000);
  await quiet;
  t.true((feed.requestedChanges[0]?.waitMs ?? Infinity) < 1_300 / 1.5);
  feed.rows = [createRow('a', 4)];
  await relayed.waitForChanges(3, 5_000);
  t.deepEqual(
    published.map(({ after, position }) => [after, position]),
    [
      [3, 3],
      [3, 4],
    ],
  );
});
