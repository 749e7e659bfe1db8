/** Registers the relay and what it keeps for each service. */
import type { Plugin } from '@medlarlever/core';

import {
  crashesPart,
  drainPart,
  instanceCountPart,
  logPart,
  loopDelayPart,
  metricsPart,
  newsPart,
  randomPart,
  relayPart,
  routesPart,
  servicesPart,
  settingsPart,
  targetClientPart,
  targetsPart,
  topologyPart,
} from '../kernel/tokens.js';
import { RelayMetrics } from '../metrics/relay-metrics.js';
import { CrashTracker } from '../retries/crash-tracker.js';
import { DataCenterReachability } from '../targets/data-center-reachability.js';

import { createLivenessCheck } from './liveness-check.js';
import { Relay } from './relay.js';
import { ServiceStates } from './service-state.js';

export const relayApp: Plugin = {
  name: 'relay',
  register: kernel => {
    kernel.provide(crashesPart, () => new CrashTracker());
    kernel.provide(servicesPart, k => {
      const settings = k.get(settingsPart);
      return new ServiceStates({
        windowMs: settings.current.retryWindowMs,
        getLimits: () => ({
          retriesPerRequest: settings.current.retryRatio,
          deploymentAllowance: settings.current.retryAllowance,
          instanceCount: k.get(instanceCountPart)(),
        }),
      });
    });
    kernel.provide(relayPart, k => {
      const client = k.get(targetClientPart);
      return new Relay({
        routes: k.get(routesPart),
        targets: k.get(targetsPart),
        serviceStates: k.get(servicesPart),
        targetClient: client,
        checkLiveness: createLivenessCheck(client),
        crashTracker: k.get(crashesPart),
        dataCenterReachability: new DataCenterReachability(),
        metrics: new RelayMetrics(k.get(metricsPart)),
        log: k.get(logPart),
        random: k.get(randomPart),
        isLargeDeployment: () => k.get(topologyPart).large,
        dataCenter: k.get(settingsPart).current.dataCenter,
        getEventLoopDelayMs: () => k.get(loopDelayPart).currentMs,
        getRemainingMs: () => k.get(drainPart).leftMs,
        onPrefillStart: (target, parts, expectedMs) => {
          k.get(newsPart).reading(target, parts, expectedMs);
        },
      });
    });
  },
};
