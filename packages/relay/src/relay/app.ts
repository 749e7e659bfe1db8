/** Plug-in that registers the relay, its per-service state and crash tracker. */
import type { Plugin } from '@medlarlever/core';

import {
  callerBuffersToken,
  crashTrackerToken,
  requestDrainerToken,
  instanceCountToken,
  keyGateToken,
  logToken,
  eventLoopDelayMonitorToken,
  limitGroupToken,
  overloadGuardToken,
  relayMetricsToken,
  metricsRegistryToken,
  loadExchangeToken,
  promptQuarantineToken,
  requestForwarderToken,
  targetLinkToken,
  targetProbeToken,
  randomToken,
  relayToken,
  routesToken,
  serviceStatesToken,
  settingsToken,
  streamOriginFinderToken,
  streamOriginsToken,
  targetClientToken,
  targetRegistryToken,
  peerTopologyToken,
  usageToken,
} from '../kernel/tokens.js';
import { createCrashCheck } from '../crashes/crash-check.js';
import { PromptQuarantine } from '../crashes/prompt-quarantine.js';
import { findAnswerAgeMs } from '../crashes/answer-age.js';
import { RelayMetrics } from '../metrics/relay-metrics.js';
import { CallerBuffers } from '../buffers/caller-buffers.js';
import { EngineTurns } from '../room/engine-turns.js';
import { CrashTracker } from '../crashes/crash-tracker.js';
import { createRunStartListener } from '../usage/usage-parts.js';
import { DataCenterReachability } from '../targets/data-center-reachability.js';

import { OverloadGuard } from './overload.js';
import { Relay } from './relay.js';
import { ServiceStates } from './service-state.js';

export const relayApp: Plugin = {
  name: 'relay',
  register: kernel => {
    kernel.provide(
      crashTrackerToken,
      resolver =>
        new CrashTracker({
          log: resolver.get(logToken),
          onCrash: crash => {
            resolver.get(promptQuarantineToken).recordCrash(crash);
          },
        }),
    );
    kernel.provide(
      promptQuarantineToken,
      resolver =>
        new PromptQuarantine({
          log: resolver.get(logToken),
          getAnswerAgeMs: crash =>
            findAnswerAgeMs(resolver.get(targetRegistryToken), crash),
        }),
    );
    kernel.provide(serviceStatesToken, resolver => {
      const settings = resolver.get(settingsToken);
      return new ServiceStates({
        windowMs: settings.current.retryWindowMs,
        knownSinceMs: settings.current.isFirstStart
          ? -Infinity
          : performance.now(),
        getLimits: () => ({
          retriesPerRequest: settings.current.retryRatio,
          deploymentAllowance: settings.current.retryAllowance,
          instanceCount: resolver.get(instanceCountToken)(),
        }),
      });
    });
    kernel.provide(
      callerBuffersToken,
      resolver =>
        new CallerBuffers({
          getMemoryBytes: () => {
            const { hasMemoryPressure, memoryBytes } =
              resolver.get(settingsToken).current;
            return hasMemoryPressure ? memoryBytes : undefined;
          },
          log: resolver.get(logToken),
        }),
    );
    kernel.provide(
      relayMetricsToken,
      resolver => new RelayMetrics(resolver.get(metricsRegistryToken)),
    );
    kernel.provide(
      overloadGuardToken,
      resolver =>
        new OverloadGuard({
          routes: resolver.get(routesToken),
          metrics: resolver.get(relayMetricsToken),
          log: resolver.get(logToken),
          getEventLoopDelayMs: () =>
            resolver.get(eventLoopDelayMonitorToken).currentDelayMs,
        }),
    );
    kernel.provide(relayToken, resolver => {
      const client = resolver.get(targetClientToken);
      return new Relay({
        routes: resolver.get(routesToken),
        targets: resolver.get(targetRegistryToken),
        serviceStates: resolver.get(serviceStatesToken),
        targetClient: client,
        probeTarget: resolver.get(targetProbeToken),
        crashTracker: resolver.get(crashTrackerToken),
        checkCrash: createCrashCheck(client, resolver.get(crashTrackerToken)),
        promptQuarantine: resolver.get(promptQuarantineToken),
        targetLink: resolver.get(targetLinkToken),
        forwarder: resolver.get(requestForwarderToken),
        dataCenterReachability: new DataCenterReachability(),
        metrics: resolver.get(relayMetricsToken),
        log: resolver.get(logToken),
        random: resolver.get(randomToken),
        isLargeDeployment: () =>
          resolver.get(peerTopologyToken).usesAggregators,
        callerBuffers: resolver.get(callerBuffersToken),
        engineTurns: new EngineTurns(resolver.get(limitGroupToken)),
        boundsEngineMemory: () =>
          resolver.get(settingsToken).current.hasMemoryPressure === true,
        dataCenter: resolver.get(settingsToken).current.dataCenter,
        getEventLoopDelayMs: () =>
          resolver.get(eventLoopDelayMonitorToken).currentDelayMs,
        getRemainingMs: () => resolver.get(requestDrainerToken).remainingMs,
        originFinder: resolver.get(streamOriginFinderToken),
        keyGate: resolver.get(keyGateToken),
        onStreamBegin: (request, origin) => {
          resolver.get(streamOriginsToken).record(request, origin);
          resolver.get(loadExchangeToken).scheduleReport();
        },
        onPrefillStart: (target, segments, expectedMs) => {
          resolver
            .get(loadExchangeToken)
            .recordPrefillStart(target, segments, expectedMs);
        },
        onRunStart: createRunStartListener(resolver.get(usageToken)),
      });
    });
  },
};
