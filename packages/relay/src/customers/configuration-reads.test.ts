/** Tests of which reads of the operator's table prove that the configuration is recent. */
import { EraTracker, Failure } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left, Right } from 'purify-ts';

import { ChangeStream } from '../change-streams/change-stream.js';
import type {
  ChangePage,
  ChangedRow,
  StreamPosition,
} from '../change-streams/change-stream.js';
import { SharedChangeStream } from '../change-streams/shared-change-stream.js';
import { createRouteWatcher } from '../change-streams/watcher-factories.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createConfiguration,
  createMemoryLog,
} from '../fixtures/relay-fixtures.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';

import type { ConfigurationRead } from './configuration-freshness.js';
import { TimedChangeStream } from './timed-change-stream.js';

/** Table with one row; a poll ends after its wait. */
class FakeTable extends ChangeStream {
  readonly name = 'op';
  version = 1;
  text = '1';
  readonly waitsMs: number[] = [];

  override listRows() {
    return Promise.resolve(Right(this.#createPage(0)));
  }

  override async waitForChanges(after: StreamPosition, waitMs: number) {
    this.waitsMs.push(waitMs);
    await new Promise(resolve => setTimeout(resolve, waitMs));
    return Right(this.#createPage(after.version));
  }

  override removeSecrets(row: ChangedRow): ChangedRow {
    return { ...row, value: Buffer.from(String(row.value).replace('key', '')) };
  }

  #createPage(after: number): ChangePage {
    const { version, text } = this;
    const row = { key: 'config', version, value: Buffer.from(text) };
    return {
      rows: version > after ? [row] : [],
      position: { era: 0, version },
    };
  }
}

const setUp = (t: ExecutionContext, maxWaitMs = 500) => {
  const clock = installPausedClock(t);
  const table = new FakeTable();
  const reads: ConfigurationRead[] = [];
  const routes = new RouteTableHolder(createMemoryLog());
  const sharedStream = new SharedChangeStream({
    changeStream: new TimedChangeStream(table, () => maxWaitMs),
    eras: new EraTracker(),
    isAggregator: () => false,
    publishPage: () => undefined,
  });
  const watcher = createRouteWatcher(
    {
      source: {
        changeStream: sharedStream,
        decodeRow: (_key, value) =>
          Number.isNaN(Number(value))
            ? Left(new Failure('invalid_request', 'no number'))
            : Right(createConfiguration({ version: Number(value) })),
      },
      log: createMemoryLog(),
      random: () => 0.5,
      waitMs: 2_000,
      onRead: read => reads.push(read),
    },
    routes,
  );
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
  });
  void watcher.run(stop.signal);
  return { clock, table, reads, routes, sharedStream, watcher };
};

test.serial(
  'a poll proves the time at which it was sent and is no longer than allowed',
  async t => {
    const { clock, table, reads } = setUp(t);
    await clock.tickAsync(1_000);
    t.deepEqual(
      reads.map(({ sentAt }) => sentAt.monotonicMs),
      [0, 0, 500],
    );
    t.true(table.waitsMs.every(waitMs => waitMs === 500));
  },
);

test.serial(
  'a row that cannot be decoded proves nothing until it can be',
  async t => {
    const { clock, table, reads, routes } = setUp(t);
    await clock.tickAsync(100);
    table.version = 2;
    table.text = 'x';
    const before = reads.length;
    await clock.tickAsync(2_000);
    t.is(reads.length, before);
    t.is(routes.version, 1);
    table.version = 3;
    table.text = '3';
    await clock.tickAsync(1_000);
    t.true(reads.length > before);
    t.is(reads.at(-1)?.rowVersion, 3);
  },
);

test.serial(
  'a page that an aggregator pushes proves nothing and leaves its secrets behind',
  async t => {
    const { clock, reads, routes, sharedStream } = setUp(t);
    await clock.tickAsync(10);
    const before = reads.length;
    const push = (version: number) => {
      const value = Buffer.from(`key${version}`);
      sharedStream.receivePage({
        after: { era: 0, version: version - 1 },
        position: { era: 0, version },
        rows: [{ key: 'config', version, value }],
      });
    };
    push(2);
    await clock.tickAsync(490);
    const afterPoll = reads.length;
    for (let version = 3; version < 20; version += 1) {
      push(version);
      await clock.tickAsync(100);
    }
    t.is(routes.version, 19);
    t.is(afterPoll, before + 1, 'the poll that was under way');
    t.is(reads.length, afterPoll);
  },
);

test.serial('a read out of turn is applied beside a poll', async t => {
  const { clock, table, reads, routes, watcher } = setUp(t);
  await clock.tickAsync(100);
  table.version = 2;
  table.text = '2';
  await watcher.readNow();
  t.is(routes.version, 2);
  t.is(reads.at(-1)?.sentAt.monotonicMs, 100);
});
