/** Creates the watchers that update routes and targets from platform tables. */
import type { Log } from '@medlarlever/core';

import type { ConfigurationRead } from '../customers/configuration-freshness.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { RouteConfiguration } from '../routes/route-configuration.js';
import { registrationGraceMs } from '../targets/target-registry.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';

import { TableWatcher } from './table-watcher.js';
import type { SnapshotOrigin } from './table-watcher.js';
import type { ChangedRow, ChangePage } from './change-stream.js';
import type { TableSource } from './table-source.js';

/** Options that all table watchers share. */
interface WatcherFactoryOptions<T> {
  readonly source: TableSource<T>;
  readonly log: Log;
  readonly random: () => number;
  /** Maximum time that the platform may hold a long poll for changes. */
  readonly waitMs: number;
}

/** Options of the watcher of the operator's configuration. */
interface RouteWatcherOptions extends WatcherFactoryOptions<RouteConfiguration> {
  /** Called after each read of this instance, unless the configuration can't be decoded. */
  readonly onRead?: (read: ConfigurationRead) => void;
}

/** Creates a watcher that applies the operator's configuration to the routes. */
export const createRouteWatcher = (
  options: RouteWatcherOptions,
  routes: RouteTableHolder,
): TableWatcher => {
  const { source, onRead, ...rest } = options;
  const { log } = options;
  let configurationKey: string | undefined;
  let isReadable = true;
  const onRowChange = ({ key, value }: ChangedRow) => {
    if (value === undefined) return;
    const decoded = source.decodeRow(key, value);
    if (decoded === undefined) return;
    configurationKey = key;
    isReadable = decoded.isRight();
    decoded
      .ifLeft(({ message: reason }) => {
        log.writeEvent('row_unreadable', { row: key, reason });
      })
      .ifRight(configuration => {
        routes.applyIfNewer(configuration, 'platform');
      });
  };
  const onPage = ({ sentAt, position }: ChangePage) => {
    if (sentAt === undefined || !isReadable) return;
    onRead?.({
      sentAt,
      era: position.era,
      tableVersion: position.version,
      rowVersion:
        configurationKey === undefined
          ? undefined
          : watcher.getRowVersion(configurationKey),
    });
  };
  const watcher = new TableWatcher({
    changeStream: source.changeStream,
    ...rest,
    onRowChange,
    onSnapshot: () => undefined,
    onPage,
  });
  return watcher;
};

/**
 * Age at which a restored registration is known to be renewed by its target. The
 * platform removes registrations that are not renewed sooner than that.
 */
const restoredRegistrationTrustMs = 5_000;

/**
 * Creates a watcher that applies target registrations to the registry. A
 * registration that cannot be decoded removes its target.
 */
export const createTargetWatcher = (
  options: WatcherFactoryOptions<TargetRecord>,
  targets: TargetRegistry,
): TableWatcher => {
  const { source, ...rest } = options;
  const { log } = options;
  const onRowChange = ({ key, value }: ChangedRow, afterRestore: boolean) => {
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
        if (afterRestore) registerRestoredTarget(record);
        else targets.registerTarget(record);
      });
  };
  /**
   * Applies a registration from a restored backup. If the target has left since the
   * backup was made, it counts again only once the registration is renewed.
   */
  const registerRestoredTarget = (record: TargetRecord) => {
    if (!targets.isOutdated(record)) {
      targets.registerRestoredTarget(record);
      return;
    }
    setTimeout(() => {
      const isRenewed = watcher.hasRow(record.id);
      const isUnknown = targets.findTarget(record.id) === undefined;
      if (isRenewed && isUnknown) targets.registerTarget(record);
    }, restoredRegistrationTrustMs).unref();
  };
  const removeIfMissing = (id: string) => {
    if (!watcher.hasRow(id)) targets.removeTarget(id, 'missing');
  };
  /**
   * Removes targets that are missing from the snapshot. After an outage or a
   * restore, targets get a grace period, because registrations that expired or were
   * lost are written again shortly after it.
   */
  const onSnapshot = (
    keys: ReadonlySet<string>,
    { afterOutage, afterRestore }: SnapshotOrigin,
  ) => {
    for (const { record } of targets.listTargets()) {
      if (keys.has(record.id)) continue;
      if (!afterOutage && !afterRestore) removeIfMissing(record.id);
      else setTimeout(removeIfMissing, registrationGraceMs, record.id).unref();
    }
  };
  const watcher = new TableWatcher({
    changeStream: source.changeStream,
    ...rest,
    settlingMs: registrationGraceMs,
    onRowChange,
    onSnapshot,
  });
  return watcher;
};
