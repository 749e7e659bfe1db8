import FakeTimers from '@sinonjs/fake-timers';
import { Failure } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { TableWatcher } from './table-watcher.js';
import type { SnapshotOrigin } from './table-watcher.js';
import { ChangeStream } from './change-stream.js';
import type {
  ChangesResult,
  ChangePage,
  ChangedRow,
  StreamPosition,
} from './change-stream.js';

type StreamState = 'up' | 'down' | 'expired' | 'defective';

class FakeChangeStream extends ChangeStream {
  readonly name = 'rows';
  state: StreamState = 'up';
  rows: ChangedRow[] = [];
  era = 0;
  listCount = 0;

  override listRows(): Promise<Either<Failure, ChangePage>> {
    this.listCount += 1;
    if (this.state === 'down')
      return Promise.resolve(Left(createUnavailableFailure()));
    const rows = this.rows.filter(row => row.value !== undefined);
    return Promise.resolve(Right({ rows, position: this.position }));
  }

  override async waitForChanges(
    after: StreamPosition,
    waitMs: number,
  ): Promise<Either<Failure, ChangesResult>> {
    if (this.state === 'down') return Left(createUnavailableFailure());
    if (this.state === 'defective') throw new RangeError('too deep');
    if (this.state === 'expired') {
      this.state = 'up';
      return Right('expired');
    }
    await new Promise(resolve => setTimeout(resolve, Math.min(100, waitMs)));
    if (after.era !== this.era) return Right('expired');
    const rows = this.rows.filter(row => row.version > after.version);
    return Right({ rows, position: this.position });
  }

  get position(): StreamPosition {
    const version = Math.max(0, ...this.rows.map(row => row.version));
    return { era: this.era, version };
  }
}

const createUnavailableFailure = () =>
  new Failure('platform_unavailable', 'the platform did not respond');

const createRow = (key: string, version: number, value = 'v'): ChangedRow => ({
  key,
  version,
  value: Buffer.from(value),
});

const setUp = (t: ExecutionContext, settlingMs?: number) => {
  const clock = FakeTimers.install({ now: 0 });
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
    clock.uninstall();
  });
  const changeStream = new FakeChangeStream();
  const log = createMemoryLog();
  const appliedChanges: string[] = [];
  const snapshots: (SnapshotOrigin & { keys: string[] })[] = [];
  const watcher = new TableWatcher({
    changeStream,
    log,
    random: () => 0.5,
    waitMs: 1_500,
    settlingMs,
    onRowChange: ({ key, value }) => {
      if (key === 'defect') throw new Error('defect');
      appliedChanges.push(`${key}=${value?.toString() ?? ''}`);
    },
    onSnapshot: (keys, origin) =>
      snapshots.push({ keys: [...keys], ...origin }),
  });
  void watcher.run(stop.signal);
  return { clock, changeStream, log, appliedChanges, snapshots, watcher };
};

/** Reads the changes beside the watch. */
const catchUp = async (
  clock: { tickAsync: (ms: number) => Promise<number> },
  watcher: TableWatcher,
): Promise<boolean> => {
  const isCaughtUp = watcher.catchUp();
  await clock.tickAsync(5);
  return isCaughtUp;
};

test.serial(
  'a row that cannot be applied stops neither the others nor the watcher',
  async t => {
    const { clock, changeStream, appliedChanges, log, watcher } = setUp(t);
    changeStream.rows = [createRow('defect', 1), createRow('a', 2)];
    await clock.tickAsync(200);
    changeStream.rows = [...changeStream.rows, createRow('b', 3)];
    await clock.tickAsync(200);
    t.deepEqual(appliedChanges, ['a=v', 'b=v']);
    t.false(watcher.isApplied);
    t.is(log.entries.filter(({ name }) => name === 'step_failed').length, 1);
  },
);

test.serial('an unexpected error of a read does not end the watch', async t => {
  const { clock, changeStream, appliedChanges, log } = setUp(t);
  changeStream.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  changeStream.state = 'defective';
  await clock.tickAsync(1_000);
  changeStream.state = 'up';
  changeStream.rows = [...changeStream.rows, createRow('b', 2)];
  await clock.tickAsync(1_000);
  t.deepEqual(appliedChanges, ['a=v', 'b=v']);
  t.true(log.entries.some(({ name }) => name === 'step_failed'));
});

test.serial('all rows are read once and then watched for changes', async t => {
  const { clock, changeStream, appliedChanges } = setUp(t);
  changeStream.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  changeStream.rows = [createRow('a', 1), createRow('b', 2)];
  await clock.tickAsync(200);
  t.deepEqual(appliedChanges, ['a=v', 'b=v']);
  t.is(changeStream.listCount, 1);
});

test.serial('a removed row is reported and no longer exists', async t => {
  const { clock, changeStream, appliedChanges, watcher } = setUp(t);
  changeStream.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  changeStream.rows = [{ key: 'a', version: 2, value: undefined }];
  await clock.tickAsync(200);
  t.deepEqual(appliedChanges, ['a=v', 'a=']);
  t.false(watcher.hasRow('a'));
});

test.serial('an expired change history causes a new snapshot', async t => {
  const { clock, changeStream, snapshots, log } = setUp(t);
  changeStream.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  changeStream.state = 'expired';
  changeStream.rows = [createRow('b', 5)];
  await clock.tickAsync(300);
  t.deepEqual(snapshots.at(-1)?.keys, ['b']);
  t.true(log.entries.some(({ name }) => name === 'feed_expired'));
});

test.serial('a snapshot older than the known rows changes nothing', async t => {
  const { clock, changeStream, appliedChanges, snapshots } = setUp(t);
  changeStream.rows = [createRow('a', 7, 'new')];
  await clock.tickAsync(200);
  const snapshotCount = snapshots.length;
  changeStream.state = 'expired';
  changeStream.rows = [createRow('a', 3, 'old')];
  await clock.tickAsync(300);
  t.deepEqual(appliedChanges, ['a=new']);
  t.is(snapshots.length, snapshotCount);
});

test.serial('an outage is logged once and retried with backoff', async t => {
  const { clock, changeStream, log, appliedChanges } = setUp(t);
  changeStream.rows = [createRow('a', 1)];
  await clock.tickAsync(200);
  changeStream.state = 'down';
  await clock.tickAsync(5_000);
  changeStream.state = 'up';
  changeStream.rows = [createRow('a', 1), createRow('b', 2)];
  await clock.tickAsync(1_500);
  const names = log.entries.map(({ name }) => name);
  t.is(names.filter(name => name === 'platform_down').length, 1);
  t.true(names.includes('platform_up'));
  t.deepEqual(appliedChanges, ['a=v', 'b=v']);
});

test.serial(
  'after a restore the table is read again, although its versions are lower',
  async t => {
    const { clock, changeStream, appliedChanges, snapshots } = setUp(t);
    changeStream.rows = [createRow('a', 7, 'new'), createRow('b', 8)];
    await clock.tickAsync(200);
    changeStream.era = 1;
    changeStream.rows = [createRow('a', 3, 'old')];
    await clock.tickAsync(200);
    t.deepEqual(appliedChanges, ['a=new', 'b=v', 'a=old']);
    t.like(snapshots.at(-1), {
      keys: ['a'],
      afterOutage: false,
      afterRestore: true,
    });
  },
);

test.serial(
  'a version that is given out again after a restore is applied',
  async t => {
    const { clock, changeStream, appliedChanges, watcher } = setUp(t);
    changeStream.rows = [createRow('a', 7, 'lost')];
    await clock.tickAsync(200);
    changeStream.era = 1;
    changeStream.rows = [createRow('a', 3, 'old')];
    await clock.tickAsync(200);
    changeStream.rows = [createRow('a', 7, 'written again')];
    await clock.tickAsync(200);
    t.is(appliedChanges.at(-1), 'a=written again');
    t.deepEqual(watcher.lastPosition, { era: 1, version: 7 });
  },
);

// Guards against a removed row that stays because another one changed while it was listed.
test.serial(
  'a row that is missing from a list is removed though a listed row is newer than the list',
  async t => {
    const { clock, changeStream, snapshots } = setUp(t);
    changeStream.rows = [createRow('a', 1), createRow('b', 2)];
    await clock.tickAsync(50);
    const rows = [createRow('a', 5)];
    changeStream.listRows = () =>
      Promise.resolve(Right({ rows, position: { era: 0, version: 4 } }));
    changeStream.state = 'expired';
    await clock.tickAsync(300);
    t.deepEqual(snapshots.at(-1)?.keys, ['a']);
  },
);

// Guards against targets that are removed at once because their entries lapsed in an outage.
test.serial(
  'a read beside the watch counts as one after an outage until the rows have settled',
  async t => {
    const { clock, changeStream, snapshots, watcher } = setUp(t, 2_000);
    const readNow = async () => {
      await watcher.readNow();
      return snapshots.at(-1)?.afterOutage;
    };
    await clock.tickAsync(2_100);
    t.false(await readNow());
    changeStream.state = 'down';
    await clock.tickAsync(400);
    changeStream.state = 'up';
    t.true(await readNow());
    await clock.tickAsync(1_200);
    t.true(watcher.isConnected);
    t.true(await readNow());
    changeStream.state = 'expired';
    await clock.tickAsync(300);
    t.true(snapshots.at(-1)?.afterOutage);
    await clock.tickAsync(2_000);
    t.false(await readNow());
  },
);

// Guards against rows from before an outage that count as current while it lasts, and while
// they are written again after it.
test.serial(
  'the rows are known until the last page before an outage, until they have settled',
  async t => {
    const { clock, changeStream, watcher } = setUp(t, 2_000);
    t.is(watcher.knownUntilMs, -Infinity);
    await clock.tickAsync(200);
    t.is(watcher.knownUntilMs, Infinity);
    const lastPageMs = performance.now();
    changeStream.state = 'down';
    await clock.tickAsync(1_000);
    const { knownUntilMs } = watcher;
    t.true(knownUntilMs >= lastPageMs && knownUntilMs <= lastPageMs + 100);
    changeStream.state = 'up';
    await clock.tickAsync(1_500);
    t.true(watcher.isConnected);
    t.is(watcher.knownUntilMs, knownUntilMs);
    await clock.tickAsync(2_000);
    t.is(watcher.knownUntilMs, Infinity);
  },
);

// Guards against a version that served for a moment and is not counted, as no read showed it.
test.serial(
  'a row that came and went between two reads begins the history anew',
  async t => {
    const { clock, changeStream, watcher } = setUp(t);
    changeStream.rows = [createRow('a', 1)];
    await clock.tickAsync(2_000);
    t.true(watcher.historyMs > 1_800);
    // The removal of a row that was seen says nothing new.
    changeStream.rows = [{ key: 'a', version: 2, value: undefined }];
    await clock.tickAsync(200);
    t.true(watcher.historyMs > 2_000);
    changeStream.rows.push({ key: 'b', version: 4, value: undefined });
    t.true(await catchUp(clock, watcher));
    t.true(watcher.historyMs < 200);
    t.true(watcher.knownForMs > 2_000);
    await clock.tickAsync(1_000);
    t.true(watcher.historyMs > 900);
  },
);

// Guards against a version that is not counted, as it came and went in a history that the
// store no longer had.
test.serial('an expired change history begins the history anew', async t => {
  const { clock, changeStream, watcher } = setUp(t);
  changeStream.rows = [createRow('a', 1)];
  await clock.tickAsync(2_000);
  changeStream.state = 'expired';
  t.false(await catchUp(clock, watcher));
  changeStream.state = 'expired';
  await clock.tickAsync(400);
  t.true(watcher.isConnected);
  t.true(watcher.historyMs < 400);
  await clock.tickAsync(1_000);
  t.true(watcher.historyMs > 900);
});

test.serial(
  'changes that can not be read, or not on from the last page, are not known',
  async t => {
    const { clock, changeStream, appliedChanges, watcher } = setUp(t);
    t.false(await catchUp(clock, watcher));
    changeStream.rows = [createRow('a', 1)];
    await clock.tickAsync(200);
    changeStream.rows = [createRow('a', 1), createRow('b', 2)];
    t.true(await catchUp(clock, watcher));
    t.is(appliedChanges.at(-1), 'b=v');
    changeStream.state = 'down';
    t.false(await catchUp(clock, watcher));
    changeStream.state = 'up';
    changeStream.era = 1;
    t.false(await catchUp(clock, watcher));
  },
);
