/** Registers health, readiness and metrics. */
import { Registry, collectDefaultMetrics } from 'prom-client';

import { registerApp } from '../kernel/daemon-kernel.js';
import {
  configurationPart,
  metricsPart,
  readinessPart,
} from '../kernel/tokens.js';

import { HealthController } from './health-controller.js';
import { MetricsController } from './metrics-controller.js';
import { Readiness } from './readiness.js';

registerApp('health', kernel => {
  kernel.provide(metricsPart, () => {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    return registry;
  });
  kernel.provide(readinessPart, k => new Readiness(k.get(configurationPart)));
  kernel.controller('caller', HealthController);
  kernel.controller('operator', HealthController);
  kernel.controller('operator', MetricsController);
});
