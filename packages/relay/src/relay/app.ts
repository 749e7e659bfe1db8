/** Registers the relay and what it keeps for each service. */
import type { Plugin } from '@medlarlever/core';

import {
  crashCountsToken,
  requestDrainerToken,
  instanceCountToken,
  logToken,
  eventLoopDelayMonitorToken,
  metricsRegistryToken,
  loadExchangeToken,
  randomToken,
  relayToken,
  routesToken,
  serviceStatesToken,
  settingsToken,
  targetClientToken,
  targetsToken,
  peerTopologyToken,
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
    kernel.provide(crashCountsToken, () => new CrashTracker());
    kernel.provide(serviceStatesToken, k => {
      const settings = k.get(settingsToken);
      return new ServiceStates({
        windowMs: settings.current.retryWindowMs,
        getLimits: () => ({
          retriesPerRequest: settings.current.retryRatio,
          deploymentAllowance: settings.current.retryAllowance,
          instanceCount: k.get(instanceCountToken)(),
        }),
      });
    });
    kernel.provide(relayToken, k => {
      const client = k.get(targetClientToken);
      return new Relay({
        routes: k.get(routesToken),
        targets: k.get(targetsToken),
        serviceStates: k.get(serviceStatesToken),
        targetClient: client,
        checkLiveness: createLivenessCheck(client),
        crashTracker: k.get(crashCountsToken),
        dataCenterReachability: new DataCenterReachability(),
        metrics: new RelayMetrics(k.get(metricsRegistryToken)),
        log: k.get(logToken),
        random: k.get(randomToken),
        isLargeDeployment: () => k.get(peerTopologyToken).isLarge,
        dataCenter: k.get(settingsToken).current.dataCenter,
        getEventLoopDelayMs: () =>
          k.get(eventLoopDelayMonitorToken).currentDelayMs,
        getRemainingMs: () => k.get(requestDrainerToken).remainingMs,
        onPrefillStart: (target, parts, expectedMs) => {
          k.get(loadExchangeToken).recordPrefillStart(
            target,
            parts,
            expectedMs,
          );
        },
      });
    });
  },
};
