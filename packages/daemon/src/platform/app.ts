/** Registers the clients of the platform. */
import {
  HttpFleetList,
  HttpObjectStore,
  HttpTable,
  TableClient,
} from '@medlarlever/core';

import { registerApp } from '../kernel/daemon-kernel.js';
import {
  fleetListPart,
  logPart,
  objectStorePart,
  randomPart,
  registryPart,
  settingsPart,
  tablePart,
} from '../kernel/tokens.js';

registerApp('platform', kernel => {
  kernel.provide(tablePart, k => {
    const { platform } = k.get(settingsPart);
    const registry = k.get(registryPart);
    return new TableClient({
      table: new HttpTable({
        url: platform.table_url,
        tableName: platform.table_name,
        timeoutMs: platform.timeout_ms,
      }),
      log: k.get(logPart),
      random: k.get(randomPart),
      countInstances: () => registry.listInstances().length,
      callTimeoutMs: platform.timeout_ms,
      rateLimits: {
        readsPerSecond: platform.reads_per_second,
        writesPerSecond: platform.writes_per_second,
      },
    });
  });
  kernel.provide(objectStorePart, k => {
    const { platform } = k.get(settingsPart);
    return new HttpObjectStore({
      url: platform.object_url,
      bucket: platform.bucket,
      timeoutMs: platform.timeout_ms,
    });
  });
  kernel.provide(fleetListPart, k => {
    const { platform } = k.get(settingsPart);
    return new HttpFleetList({
      url: platform.fleet_url,
      timeoutMs: platform.timeout_ms,
    });
  });
});
