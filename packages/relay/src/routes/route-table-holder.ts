/** Holds the current configuration and replaces it only by newer versions. */
import type { Log } from '@medlarlever/core';

import type { RouteConfiguration } from './route-configuration.js';
import { RouteTable } from './route-table.js';

type RouteTableListener = (table: RouteTable) => void;

/** Gives access to the current route table and notifies listeners of changes. */
export class RouteTableHolder {
  #table: RouteTable | undefined;
  #appliedAtMs = performance.now();
  readonly #listeners: RouteTableListener[] = [];

  constructor(private readonly log: Log) {}

  /** Undefined until the first configuration has been applied. */
  get currentTable(): RouteTable | undefined {
    return this.#table;
  }

  /** Version of the current configuration; 0 while there is none. */
  get version(): number {
    return this.#table?.version ?? 0;
  }

  /**
   * Milliseconds since the current configuration was applied, or since the
   * start.
   */
  get ageMs(): number {
    return performance.now() - this.#appliedAtMs;
  }

  /** Registers a listener for each newly applied configuration. */
  onTableChange(listener: RouteTableListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Applies the configuration if it is newer than the current one and returns
   * whether it was applied. `source` names its origin in the log. One of the same
   * version replaces one without customers, which an older instance has passed on.
   */
  applyIfNewer(configuration: RouteConfiguration, source: string): boolean {
    const currentVersion = this.#table?.version;
    const addsCustomers =
      configuration.version === currentVersion &&
      configuration.customers !== undefined &&
      !this.#table?.requiresKeys;
    if (
      currentVersion !== undefined &&
      configuration.version <= currentVersion &&
      !addsCustomers
    ) {
      if (configuration.version < currentVersion) {
        this.log.writeEvent('revision_refused', {
          revision: configuration.version,
          held: currentVersion,
          source,
        });
      }
      return false;
    }
    const table = new RouteTable(configuration);
    this.#table = table;
    this.#appliedAtMs = performance.now();
    this.log.writeEvent('revision_in_force', {
      revision: table.version,
      before: currentVersion ?? null,
      source,
      routes: configuration.routes.length,
    });
    for (const listener of this.#listeners) listener(table);
    return true;
  }
}
