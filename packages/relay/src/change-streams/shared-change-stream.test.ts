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

/** Change stream that records the requests made to the platform. */
class RecordingChangeStream extends ChangeStream {
  readonly name = 'rows';
  readonly requestedChanges: { after: number; waitMs: number }[] = [];
  rows: ChangedRow[] = [];

  override listRows() {
    return Promise.resolve(Right({ rows: this.rows, position: 0 }));
  }

  override async waitForChanges(after: number, waitMs: number) {
    this.requestedChanges.push({ after, waitMs });
    const listChanges = () =>
      this.rows.filter(({ position }) => position > after);
    if (listChanges().length === 0) {
      await new Promise(resolve => setTimeout(resolve, waitMs));
    }
    const position = Math.max(after, ...this.rows.map(row => row.position));
    return Right({ rows: listChanges(), position });
  }
}

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const changeStream = new RecordingChangeStream();
  const published: SharedChangePage[] = [];
  const state = { isAggregator: false };
  const sharedStream = new SharedChangeStream({
    changeStream,
    isAggregator: () => state.isAggregator,
    publishPage: page => published.push(page),
  });
  return { clock, changeStream, published, state, sharedStream };
};

const createPage = (after: number, position: number): SharedChangePage => ({
  after,
  position,
  rows: position > after ? [createRow(`r${position}`, position)] : [],
});

test.serial('without an aggregator the platform is queried', async t => {
  const { clock, changeStream, sharedStream } = setUp(t);
  const pendingChanges = sharedStream.waitForChanges(3, 2_000);
  await clock.tickAsync(2_000);
  await pendingChanges;
  t.deepEqual(changeStream.requestedChanges, [{ after: 3, waitMs: 2_000 }]);
});

test.serial(
  'changes from the aggregator arrive without a query of the platform',
  async t => {
    const { clock, changeStream, sharedStream } = setUp(t);
    sharedStream.receivePage(createPage(3, 3));
    const pendingChanges = sharedStream.waitForChanges(3, 2_000);
    await clock.tickAsync(600);
    sharedStream.receivePage(createPage(3, 3));
    await clock.tickAsync(600);
    sharedStream.receivePage(createPage(3, 5));
    const changes = (await pendingChanges).unsafeCoerce();
    t.is(changes === 'expired' ? '' : changes.rows[0]?.key, 'r5');
    t.deepEqual(changeStream.requestedChanges, []);
  },
);

test.serial(
  'the platform is queried when the aggregator sends nothing for 1.3 s',
  async t => {
    const { clock, changeStream, sharedStream } = setUp(t);
    sharedStream.receivePage(createPage(3, 3));
    void sharedStream.waitForChanges(3, 2_000);
    await clock.tickAsync(1_250);
    t.is(changeStream.requestedChanges.length, 0);
    await clock.tickAsync(100);
    t.is(changeStream.requestedChanges.length, 1);
  },
);

test.serial('missed changes are fetched from the platform at once', async t => {
  const { clock, changeStream, sharedStream } = setUp(t);
  sharedStream.receivePage(createPage(3, 3));
  const pendingChanges = sharedStream.waitForChanges(3, 2_000);
  await clock.tickAsync(100);
  changeStream.rows = [createRow('a', 4), createRow('b', 6)];
  sharedStream.receivePage(createPage(5, 6));
  const changes = (await pendingChanges).unsafeCoerce();
  t.is(changes === 'expired' ? 0 : changes.rows.length, 2);
});

test.serial('pages received between two calls are not lost', async t => {
  const { changeStream, sharedStream } = setUp(t);
  sharedStream.receivePage(createPage(3, 4));
  sharedStream.receivePage(createPage(4, 6));
  changeStream.rows = [createRow('r4', 4), createRow('r6', 6)];
  const changes = (await sharedStream.waitForChanges(3, 2_000)).unsafeCoerce();
  t.is(changes === 'expired' ? 0 : changes.rows.length, 2);
  t.is(changeStream.requestedChanges.length, 1);
});

test.serial(
  'an aggregator that is behind does not delay an instance',
  async t => {
    const { clock, changeStream, sharedStream } = setUp(t);
    sharedStream.receivePage(createPage(3, 3));
    void sharedStream.waitForChanges(9, 2_000);
    await clock.tickAsync(1);
    t.is(changeStream.requestedChanges.length, 1);
  },
);

test.serial(
  'an aggregator uses short long polls and publishes each result',
  async t => {
    const { clock, changeStream, published, state, sharedStream } = setUp(t);
    state.isAggregator = true;
    const firstCall = sharedStream.waitForChanges(3, 5_000);
    await clock.tickAsync(1_000);
    await firstCall;
    t.true(
      (changeStream.requestedChanges[0]?.waitMs ?? Infinity) < 1_300 / 1.5,
    );
    changeStream.rows = [createRow('a', 4)];
    await sharedStream.waitForChanges(3, 5_000);
    t.deepEqual(
      published.map(({ after, position }) => [after, position]),
      [
        [3, 3],
        [3, 4],
      ],
    );
  },
);
