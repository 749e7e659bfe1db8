import { EraTracker } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createConfiguration,
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import type { RouteConfiguration } from '../routes/route-configuration.js';
import type { TargetRecord } from '../targets/target-record.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { ChangeStream } from './change-stream.js';
import type { ChangePage, StreamPosition } from './change-stream.js';
import { reportRestores } from './restore-reporter.js';
import {
  createRouteWatcher,
  createTargetWatcher,
} from './watcher-factories.js';

/** Change stream of a table that can be restored from a backup. */
class RestorableTable<T> extends ChangeStream {
  readonly name = 'rows';
  readonly eras = new EraTracker();
  #rows = new Map<string, { version: number; record: T | undefined }>();
  #version = 0;

  constructor() {
    super();
    this.eras.recordEra(0);
  }

  write(key: string, record: T | undefined): void {
    this.#version += 1;
    this.#rows.set(key, { version: this.#version, record });
  }

  createBackup() {
    return { rows: new Map(this.#rows), version: this.#version };
  }

  restore({ rows, version }: ReturnType<typeof this.createBackup>): void {
    this.#rows = new Map(rows);
    this.#version = version;
    this.eras.recordEra(this.eras.currentEra + 1);
  }

  override listRows() {
    const page = this.#createPage(0);
    const rows = page.rows.filter(({ value }) => value !== undefined);
    return Promise.resolve(Right({ ...page, rows }));
  }

  override async waitForChanges(after: StreamPosition, waitMs: number) {
    await new Promise(resolve => setTimeout(resolve, Math.min(50, waitMs)));
    return Right(
      after.era === this.eras.currentEra
        ? this.#createPage(after.version)
        : ('expired' as const),
    );
  }

  #createPage(after: number): ChangePage {
    const rows = [...this.#rows]
      .filter(([, { version }]) => version > after)
      .map(([key, { version, record }]) => ({
        key,
        version,
        value:
          record === undefined
            ? undefined
            : Buffer.from(JSON.stringify(record)),
      }));
    const position = { era: this.eras.currentEra, version: this.#version };
    return { rows, position };
  }
}

const setUpWatchers = (t: ExecutionContext) => {
  const clock = installPausedClock(t);
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
  });
  const log = createMemoryLog();
  const shared = { log, random: () => 0.5, waitMs: 1_000 };
  const targetTable = new RestorableTable<TargetRecord>();
  const routeTable = new RestorableTable<RouteConfiguration>();
  const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1_000 });
  const routes = new RouteTableHolder(log);
  const targetWatcher = createTargetWatcher(
    {
      ...shared,
      source: {
        changeStream: targetTable,
        decodeRow: (_key, value) =>
          Right(JSON.parse(value.toString()) as TargetRecord),
      },
    },
    targets,
  );
  const routeWatcher = createRouteWatcher(
    {
      ...shared,
      source: {
        changeStream: routeTable,
        decodeRow: (_key, value) =>
          Right(JSON.parse(value.toString()) as RouteConfiguration),
      },
    },
    routes,
  );
  void targetWatcher.run(stop.signal);
  void routeWatcher.run(stop.signal);
  const listOpenIds = () =>
    targets.listOpenTargets('api').map(({ record }) => record.id);
  const watchers = [targetWatcher, routeWatcher];
  return {
    clock,
    log,
    targetTable,
    routeTable,
    routes,
    targets,
    listOpenIds,
    watchers,
  };
};

const record = createTargetRecord('t1', { startedAtMs: 5 });
const leavingRecord = { ...record, leaving: true };
const otherRecord = createTargetRecord('t2', { startedAtMs: 5 });

test.serial(
  'a target that was leaving stays so when a backup shows it ready',
  async t => {
    const { clock, targetTable, listOpenIds } = setUpWatchers(t);
    targetTable.write('t1', record);
    const backup = targetTable.createBackup();
    await clock.tickAsync(100);
    targetTable.write('t1', leavingRecord);
    await clock.tickAsync(100);
    t.deepEqual(listOpenIds(), []);
    targetTable.restore(backup);
    await clock.tickAsync(10_000);
    t.deepEqual(listOpenIds(), []);
  },
);

test.serial(
  'a target that had left does not come back with a backup, unless it registers again',
  async t => {
    const { clock, targetTable, listOpenIds } = setUpWatchers(t);
    targetTable.write('t1', record);
    targetTable.write('t2', otherRecord);
    const backup = targetTable.createBackup();
    await clock.tickAsync(100);
    targetTable.write('t1', undefined);
    targetTable.write('t2', undefined);
    await clock.tickAsync(100);
    targetTable.restore(backup);
    await clock.tickAsync(1_000);
    t.deepEqual(listOpenIds(), []);
    targetTable.write('t2', otherRecord);
    targetTable.write('t1', undefined);
    await clock.tickAsync(10_000);
    t.deepEqual(listOpenIds(), ['t2']);
  },
);

test.serial(
  'a restored registration that outlives its time is used again',
  async t => {
    const { clock, targetTable, listOpenIds } = setUpWatchers(t);
    targetTable.write('t1', record);
    const backup = targetTable.createBackup();
    await clock.tickAsync(100);
    targetTable.write('t1', undefined);
    await clock.tickAsync(100);
    targetTable.restore(backup);
    await clock.tickAsync(4_900);
    t.deepEqual(listOpenIds(), []);
    await clock.tickAsync(300);
    t.deepEqual(listOpenIds(), ['t1']);
  },
);

test.serial(
  'a target that the backup lacks is gone only after it had time to register again',
  async t => {
    const { clock, targetTable, listOpenIds } = setUpWatchers(t);
    const backup = targetTable.createBackup();
    targetTable.write('t1', record);
    targetTable.write('t2', otherRecord);
    await clock.tickAsync(100);
    targetTable.restore(backup);
    await clock.tickAsync(1_000);
    t.deepEqual(listOpenIds(), ['t1', 't2']);
    targetTable.write('t1', record);
    await clock.tickAsync(2_000);
    t.deepEqual(listOpenIds(), ['t1']);
  },
);

test.serial(
  'an earlier incarnation in a backup does not replace the later one',
  async t => {
    const { clock, targetTable, targets } = setUpWatchers(t);
    targetTable.write('t1', record);
    const backup = targetTable.createBackup();
    await clock.tickAsync(100);
    targetTable.write('t1', { ...record, startedAtMs: 9 });
    await clock.tickAsync(100);
    targetTable.restore(backup);
    await clock.tickAsync(200);
    t.is(targets.findTarget('t1')?.record.startedAtMs, 9);
  },
);

test.serial(
  'the configuration does not return to the one of the backup',
  async t => {
    const { clock, routeTable, routes } = setUpWatchers(t);
    routeTable.write('config', createConfiguration({ version: 3 }));
    const backup = routeTable.createBackup();
    await clock.tickAsync(100);
    routeTable.write('config', createConfiguration({ version: 8 }));
    await clock.tickAsync(100);
    routeTable.restore(backup);
    await clock.tickAsync(200);
    t.is(routes.version, 8);
    // The row has the version that the lost one had.
    routeTable.write('config', createConfiguration({ version: 11 }));
    await clock.tickAsync(200);
    t.is(routes.version, 11);
  },
);

test.serial('a restore is logged once, with what was known before', async t => {
  const { clock, log, targetTable, routes, targets, watchers } =
    setUpWatchers(t);
  const { eras } = targetTable;
  reportRestores({ eras, log, routes, targets, watchers });
  const backup = targetTable.createBackup();
  targetTable.write('t1', record);
  await clock.tickAsync(100);
  targetTable.restore(backup);
  await clock.tickAsync(100);
  const events = log.entries.filter(({ name }) => name === 'store_restored');
  t.is(events.length, 1);
  t.like(events[0]?.fields, { before: 0, era: 1, kept_targets: 1 });
});
