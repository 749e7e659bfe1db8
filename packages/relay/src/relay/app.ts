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
import { CrashCounts } from '../retries/crash-tracker.js';
import { DataCenterReach } from '../targets/data-center-reachability.js';

import { createLivenessCheck } from './liveness-check.js';
import { Relay } from './relay.js';
import { ServiceStates } from './service-state.js';

export const relayApp: Plugin = {
  name: 'relay',
  register: kernel => {
    kernel.provide(crashesPart, () => new CrashCounts());
    kernel.provide(servicesPart, k => {
      const settings = k.get(settingsPart);
      return new ServiceStates({
        windowMs: settings.current.retryWindowMs,
        allowed: () => ({
          ratio: settings.current.retryRatio,
          allowance: settings.current.retryAllowance,
          instances: k.get(instanceCountPart)(),
        }),
      });
    });
    kernel.provide(relayPart, k => {
      const client = k.get(targetClientPart);
      return new Relay({
        routes: k.get(routesPart),
        targets: k.get(targetsPart),
        services: k.get(servicesPart),
        client,
        answers: createLivenessCheck(client),
        crashes: k.get(crashesPart),
        reach: new DataCenterReach(),
        metrics: new RelayMetrics(k.get(metricsPart)),
        log: k.get(logPart),
        random: k.get(randomPart),
        largeDeployment: () => k.get(topologyPart).large,
        dataCenter: k.get(settingsPart).current.dataCenter,
        behindMs: () => k.get(loopDelayPart).currentMs,
        timeLeftMs: () => k.get(drainPart).leftMs,
        onReading: (target, parts, expectedMs) => {
          k.get(newsPart).reading(target, parts, expectedMs);
        },
      });
    });
  },
};
