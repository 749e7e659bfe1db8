/**
 * Logs each restore of the platform's store, with what this instance knew before
 * it. The restored backup may lack all of that.
 */
import type { EraTracker, Log } from '@medlarlever/core';

import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import type { TableWatcher } from './table-watcher.js';

/** State that the log line describes. */
export interface RestoreReporterOptions {
  readonly eras: EraTracker;
  readonly log: Log;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly watchers: readonly TableWatcher[];
}

/** Writes one log line for each restore from now on. */
export const reportRestores = (options: RestoreReporterOptions): void => {
  const { eras, log, routes, targets, watchers } = options;
  eras.onChange(({ previousEra, era }) => {
    const lastVersions = Object.fromEntries(
      watchers.map(({ name, lastPosition }) => [
        name,
        lastPosition?.version ?? null,
      ]),
    );
    log.writeEvent('store_restored', {
      before: previousEra,
      era,
      dropped_positions: lastVersions,
      kept_revision: routes.version,
      kept_targets: targets.targetCount,
    });
  });
};
