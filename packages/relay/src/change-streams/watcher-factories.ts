/** Keeps routes and targets in step with the platform's tables. */
import type { Log } from '@medlarlever/core';

import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { RouteConfiguration } from '../routes/route-configuration.js';
import { registrationGraceMs } from '../targets/target-registry.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';

import { TableWatcher } from './table-watcher.js';
import type { ChangedRow } from './change-stream.js';
import type { TableSource } from './table-source.js';

interface WatcherFactoryOptions<T> {
  readonly source: TableSource<T>;
  readonly log: Log;
  readonly random: () => number;
  /** How long the platform may hold a question for changes. */
  readonly waitMs: number;
}

/** Follows the operator's configuration. */
export const createRouteWatcher = (
  options: WatcherFactoryOptions<RouteConfiguration>,
  routes: RouteTableHolder,
): TableWatcher => {
  const { source, ...rest } = options;
  const { log } = options;
  const onRow = ({ key, value }: ChangedRow) => {
    if (value === undefined) return;
    source
      .decodeRow(key, value)
      ?.ifLeft(({ message: reason }) => {
        log.writeEvent('row_unreadable', { row: key, reason });
      })
      .ifRight(configuration => {
        routes.applyIfNewer(configuration, 'platform');
      });
  };
  const onList = () => undefined;
  return new TableWatcher({
    changeStream: source.changeStream,
    ...rest,
    onRowChange: onRow,
    onSnapshot: onList,
  });
};

/** Follows registrations. One that cannot be read names no target. */
export const createTargetWatcher = (
  options: WatcherFactoryOptions<TargetRecord>,
  targets: TargetRegistry,
): TableWatcher => {
  const { source, ...rest } = options;
  const { log } = options;
  const onRow = ({ key, value }: ChangedRow) => {
    if (value === undefined) {
      targets.removeTarget(key, 'removed');
      return;
    }
    source
      .decodeRow(key, value)
      ?.ifLeft(({ message: reason }) => {
        log.writeEvent('row_unreadable', { row: key, reason });
        targets.removeTarget(key, 'unreadable');
      })
      .ifRight(record => {
        targets.registerTarget(record);
      });
  };
  const drop = (id: string) => {
    if (!follower.hasRow(id)) targets.removeTarget(id, 'missing');
  };
  /** Lapsed registrations come back within a moment of an outage's end. */
  const onList = (keys: ReadonlySet<string>, afterOutage: boolean) => {
    for (const { record } of targets.listTargets()) {
      if (keys.has(record.id)) continue;
      if (!afterOutage) drop(record.id);
      else setTimeout(drop, registrationGraceMs, record.id).unref();
    }
  };
  const follower = new TableWatcher({
    changeStream: source.changeStream,
    ...rest,
    onRowChange: onRow,
    onSnapshot: onList,
  });
  return follower;
};
