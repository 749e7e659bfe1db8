/** Registers readiness, the health endpoints and the metrics endpoint. */
import { Registry, collectDefaultMetrics } from 'prom-client';

import { registerFeature } from '../kernel/daemon-kernel.js';
import {
  configurationHolderToken,
  metricsRegistryToken,
  readinessToken,
} from '../kernel/tokens.js';

import { HealthController } from './health-controller.js';
import { MetricsController } from './metrics-controller.js';
import { Readiness } from './readiness.js';

registerFeature('health', kernel => {
  kernel.provide(metricsRegistryToken, () => {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    return registry;
  });
  kernel.provide(
    readinessToken,
    resolver => new Readiness(resolver.get(configurationHolderToken)),
  );
  kernel.addController('caller', HealthController);
  kernel.addController('operator', HealthController);
  kernel.addController('operator', MetricsController);
});
