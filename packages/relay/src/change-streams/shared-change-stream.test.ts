import FakeTimers from '@sinonjs/fake-timers';
import { EraTracker } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import { SharedChangeStream } from './shared-change-stream.js';
import type { SharedChangePage } from './shared-change-stream.js';
import { ChangeStream } from './change-stream.js';
import type { ChangedRow, StreamPosition } from './change-stream.js';

const at = (version: number, era = 0): StreamPosition => ({ era, version });

const createRow = (key: string, version: number): ChangedRow => ({
  key,
  version,
  value: Buffer.from(key),
});

/** Change stream that records the requests made to the platform. */
class RecordingChangeStream extends ChangeStream {
  readonly name = 'rows';
  readonly requestedChanges: { after: number; waitMs: number }[] = [];
  rows: ChangedRow[] = [];

  override listRows() {
    return Promise.resolve(Right({ rows: this.rows, position: at(0) }));
  }

  override async waitForChanges(after: StreamPosition, waitMs: number) {
    this.requestedChanges.push({ after: after.version, waitMs });
    const listChanges = () =>
      this.rows.filter(({ version }) => version > after.version);
    if (listChanges().length === 0) {
      await new Promise(resolve => setTimeout(resolve, waitMs));
    }
    const version = Math.max(
      after.version,
      ...this.rows.map(row => row.version),
    );
    return Right({ rows: listChanges(), position: { ...after, version } });
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
  const eras = new EraTracker();
  const sharedStream = new SharedChangeStream({
    changeStream,
    eras,
    isAggregator: () => state.isAggregator,
    publishPage: page => published.push(page),
  });
  return { clock, changeStream, eras, published, state, sharedStream };
};

const createPage = (
  after: number,
  version: number,
  era = 0,
): SharedChangePage => ({
  after: at(after, era),
  position: at(version, era),
  rows: version > after ? [createRow(`r${version}`, version)] : [],
});

test.serial('without an aggregator the platform is queried', async t => {
  const { clock, changeStream, sharedStream } = setUp(t);
  const pendingChanges = sharedStream.waitForChanges(at(3), 2_000);
  await clock.tickAsync(2_000);
  await pendingChanges;
  t.deepEqual(changeStream.requestedChanges, [{ after: 3, waitMs: 2_000 }]);
});

test.serial(
  'changes from the aggregator arrive without a query of the platform',
  async t => {
    const { clock, changeStream, sharedStream } = setUp(t);
    sharedStream.receivePage(createPage(3, 3));
    const pendingChanges = sharedStream.waitForChanges(at(3), 2_000);
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
    void sharedStream.waitForChanges(at(3), 2_000);
    await clock.tickAsync(1_250);
    t.is(changeStream.requestedChanges.length, 0);
    await clock.tickAsync(100);
    t.is(changeStream.requestedChanges.length, 1);
  },
);

// Guards against changes that are believed to be all, though the aggregator's page is old.
test.serial(
  'a read of the changes asks the platform, whatever the aggregator has sent',
  async t => {
    const { changeStream, sharedStream } = setUp(t);
    sharedStream.receivePage(createPage(3, 3));
    changeStream.rows = [createRow('r4', 4)];
    const changes = (await sharedStream.listChanges(at(3))).unsafeCoerce();
    t.is(changes === 'expired' ? '' : changes.rows[0]?.key, 'r4');
  },
);

test.serial('missed changes are fetched from the platform at once', async t => {
  const { clock, changeStream, sharedStream } = setUp(t);
  sharedStream.receivePage(createPage(3, 3));
  const pendingChanges = sharedStream.waitForChanges(at(3), 2_000);
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
  const changes = (
    await sharedStream.waitForChanges(at(3), 2_000)
  ).unsafeCoerce();
  t.is(changes === 'expired' ? 0 : changes.rows.length, 2);
  t.is(changeStream.requestedChanges.length, 1);
});

test.serial(
  'an aggregator that is behind does not delay an instance',
  async t => {
    const { clock, changeStream, sharedStream } = setUp(t);
    sharedStream.receivePage(createPage(3, 3));
    void sharedStream.waitForChanges(at(9), 2_000);
    await clock.tickAsync(1);
    t.is(changeStream.requestedChanges.length, 1);
  },
);

test.serial(
  'an aggregator uses short long polls and publishes each result',
  async t => {
    const { clock, changeStream, published, state, sharedStream } = setUp(t);
    state.isAggregator = true;
    const firstCall = sharedStream.waitForChanges(at(3), 5_000);
    await clock.tickAsync(1_000);
    await firstCall;
    t.true(
      (changeStream.requestedChanges[0]?.waitMs ?? Infinity) < 1_300 / 1.5,
    );
    changeStream.rows = [createRow('a', 4)];
    await sharedStream.waitForChanges(at(3), 5_000);
    t.deepEqual(
      published.map(({ after, position }) => [after.version, position.version]),
      [
        [3, 3],
        [3, 4],
      ],
    );
  },
);

test.serial('a page of a new era ends the wait at once', async t => {
  const { eras, sharedStream } = setUp(t);
  eras.recordEra(0);
  sharedStream.receivePage(createPage(3, 3));
  const pendingChanges = sharedStream.waitForChanges(at(3), 2_000);
  sharedStream.receivePage(createPage(1, 2, 1));
  t.is((await pendingChanges).unsafeCoerce(), 'expired');
  t.is(eras.currentEra, 1);
});

test.serial('a page from before a restore is ignored', async t => {
  const { clock, changeStream, eras, sharedStream } = setUp(t);
  eras.recordEra(1);
  sharedStream.receivePage(createPage(3, 9, 0));
  void sharedStream.waitForChanges(at(3, 1), 2_000);
  await clock.tickAsync(1);
  t.is(changeStream.requestedChanges.length, 1);
});

test.serial('a restore seen in another call ends the wait at once', async t => {
  const { eras, sharedStream } = setUp(t);
  eras.recordEra(0);
  sharedStream.receivePage(createPage(3, 3));
  const pendingChanges = sharedStream.waitForChanges(at(3), 2_000);
  eras.recordEra(1);
  t.is((await pendingChanges).unsafeCoerce(), 'expired');
});
