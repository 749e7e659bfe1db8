/** Holds the configuration in force, which only moves forward. */
import type { Log } from '@medlarlever/core';

import type { RouteConfiguration } from './route-configuration.js';
import { RouteTable } from './route-table.js';

type RouteTableListener = (table: RouteTable) => void;

export class RouteTableHolder {
  #table: RouteTable | undefined;
  #appliedAtMs = performance.now();
  readonly #listeners: RouteTableListener[] = [];

  constructor(private readonly log: Log) {}

  get currentTable(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Time since the configuration in force was taken, or since the start. */
  get ageMs(): number {
    return performance.now() - this.#appliedAtMs;
  }

  onTableChange(listener: RouteTableListener): void {
    this.#listeners.push(listener);
  }

  /** Puts a newer configuration in force; an older one is ignored. */
  applyIfNewer(configuration: RouteConfiguration, source: string): boolean {
    const held = this.#table?.version;
    if (held !== undefined && configuration.version <= held) {
      if (configuration.version < held) {
        this.log.writeEvent('revision_refused', {
          revision: configuration.version,
          held,
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
      before: held ?? null,
      source,
      routes: configuration.routes.length,
    });
    for (const listener of this.#listeners) listener(table);
    return true;
  }
}
