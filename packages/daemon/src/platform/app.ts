/** Registers the clients of the platform: table, object store and fleet list. */
import {
  HttpFleetList,
  HttpObjectStore,
  HttpTable,
  TableClient,
} from '@medlarlever/core';

import { registerFeature } from '../kernel/daemon-kernel.js';
import {
  fleetListToken,
  logToken,
  objectStoreToken,
  randomSourceToken,
  instanceRegistryToken,
  settingsToken,
  tableToken,
} from '../kernel/tokens.js';

registerFeature('platform', kernel => {
  kernel.provide(tableToken, resolver => {
    const { platform } = resolver.get(settingsToken);
    const registry = resolver.get(instanceRegistryToken);
    return new TableClient({
      table: new HttpTable({
        url: platform.table_url,
        tableName: platform.table_name,
        timeoutMs: platform.timeout_ms,
      }),
      log: resolver.get(logToken),
      random: resolver.get(randomSourceToken),
      countInstances: () => registry.listInstances().length,
      callTimeoutMs: platform.timeout_ms,
      rateLimits: {
        readsPerSecond: platform.reads_per_second,
        writesPerSecond: platform.writes_per_second,
      },
    });
  });
  kernel.provide(objectStoreToken, resolver => {
    const { platform } = resolver.get(settingsToken);
    return new HttpObjectStore({
      url: platform.object_url,
      bucket: platform.bucket,
      timeoutMs: platform.timeout_ms,
    });
  });
  kernel.provide(fleetListToken, resolver => {
    const { platform } = resolver.get(settingsToken);
    return new HttpFleetList({
      url: platform.fleet_url,
      timeoutMs: platform.timeout_ms,
    });
  });
});
