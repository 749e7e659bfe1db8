/** Plugin for the caller server, readiness, metrics and draining at a stop. */
import type { Kernel, Plugin } from '@medlarlever/core';
import { Registry } from 'prom-client';

import { awaitCloseOrTimeout } from '../kernel/close-timeout.js';
import {
  configurationFreshnessToken,
  callerBuffersToken,
  requestDrainerToken,
  droppedLogLinesToken,
  shutdownStartControllerToken,
  logToken,
  eventLoopDelayMonitorToken,
  eventLoopUsageToken,
  overloadGuardToken,
  metricsRegistryToken,
  instanceRegistryToken,
  relayToken,
  requestDecoderToken,
  routeWatcherToken,
  routesToken,
  serviceStatesToken,
  settingsToken,
  targetWatcherToken,
  tableToken,
  promptQuarantineToken,
  targetAnnouncementsToken,
  targetLinkToken,
  targetRegistryToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';
import { readClocks } from '../shared/clock-reading.js';
import { registerStateGauges } from '../metrics/state-gauges.js';

import { CallerServer } from './caller-server.js';
import { createListenerGuard } from './listener-limits.js';
import { RequestDrainer } from './request-drainer.js';
import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { EventLoopUsage } from './event-loop-usage.js';
import { StatusServer } from './status-server.js';

/** A server that listens until it is closed. */
interface Listener {
  close(): Promise<void>;
}

/** Registers a lifecycle hook that opens a server at start and closes it at stop. */
const registerListener = (
  kernel: Kernel,
  name: string,
  rank: number,
  open: () => Promise<Listener>,
): void => {
  let listener: Listener | undefined;
  kernel.addLifecycleHook({
    name,
    rank,
    start: async () => {
      listener = await open();
    },
    stop: async () => {
      if (listener !== undefined) await awaitCloseOrTimeout(listener.close());
    },
  });
};

const openCallerServer = (kernel: Kernel): Promise<Listener> =>
  CallerServer.open({
    relay: kernel.get(relayToken),
    routes: kernel.get(routesToken),
    decoder: kernel.get(requestDecoderToken),
    drainer: kernel.get(requestDrainerToken),
    eventLoopDelayMonitor: kernel.get(eventLoopDelayMonitorToken),
    getMemoryBytes: () => kernel.get(settingsToken).current.memoryBytes,
    overloadGuard: kernel.get(overloadGuardToken),
    guard: createListenerGuard(kernel, 'callers'),
    ...kernel.get(settingsToken).current.callers,
  });

/**
 * Returns true if this instance has a configuration and at least one target and
 * is not draining. The platform does not have to be reachable.
 */
const isReady = (kernel: Kernel): boolean =>
  !kernel.get(requestDrainerToken).isDraining &&
  kernel.get(routesToken).currentTable !== undefined &&
  kernel.get(targetRegistryToken).targetCount > 0;

const openReadinessServer = (kernel: Kernel): Promise<Listener> => {
  const { readiness, readinessPath } = kernel.get(settingsToken).current;
  const answer = () => {
    const ready = isReady(kernel);
    return Promise.resolve({
      status: ready ? 200 : 503,
      type: 'text/plain',
      text: ready ? 'ready' : 'not ready',
    });
  };
  const endpoints = [{ path: readinessPath, answer }];
  const guard = createListenerGuard(kernel, 'readiness');
  return StatusServer.open(readiness.host, readiness.port, endpoints, guard);
};

const openMetricsServer = (kernel: Kernel): Promise<Listener> => {
  const registry = kernel.get(metricsRegistryToken);
  registerStateGauges({
    registry,
    routes: kernel.get(routesToken),
    targets: kernel.get(targetRegistryToken),
    services: kernel.get(serviceStatesToken),
    instances: kernel.get(instanceRegistryToken),
    eras: kernel.get(tableToken).eras,
    announcements: kernel.get(targetAnnouncementsToken),
    promptQuarantine: kernel.get(promptQuarantineToken),
    targetLink: kernel.get(targetLinkToken),
    configurationAgeMs: () =>
      kernel.get(configurationFreshnessToken).getAgeMs(readClocks()),
    callerBuffers: kernel.get(callerBuffersToken),
    watchers: [kernel.get(routeWatcherToken), kernel.get(targetWatcherToken)],
    eventLoopDelayMs: () =>
      kernel.get(eventLoopDelayMonitorToken).currentDelayMs,
    eventLoopBusySeconds: () => kernel.get(eventLoopUsageToken).busySeconds,
    droppedLogLines: kernel.get(droppedLogLinesToken),
  });
  const answer = async () => ({
    status: 200,
    type: registry.contentType,
    text: await registry.metrics(),
  });
  const { host, port } = kernel.get(settingsToken).current.metrics;
  const guard = createListenerGuard(kernel, 'metrics');
  return StatusServer.open(host, port, [{ path: '/metrics', answer }], guard);
};

/**
 * Announces the stop and waits for the running requests. `stopAccepting` closes
 * the caller server without interrupting running requests.
 */
const drainServer = async (
  kernel: Kernel,
  stopAccepting: () => void,
): Promise<void> => {
  const drainer = kernel.get(requestDrainerToken);
  const log = kernel.get(logToken);
  log.writeEvent('process_draining', { running: drainer.runningRequests });
  kernel.get(instanceRegistryToken).updateSelf({ state: 'leaving' });
  kernel.get(shutdownStartControllerToken).abort();
  const { gracePeriodMs } = kernel.get(settingsToken).current;
  await drainer.drainRequests(gracePeriodMs, stopAccepting, () => {
    kernel.get(relayToken).endUnanswered();
  });
};

/** Provides and starts the servers of the relay and drains them at a stop. */
export const serverPlugin: Plugin = {
  name: 'server',
  register: kernel => {
    kernel.provide(metricsRegistryToken, () => new Registry());
    kernel.provide(requestDrainerToken, () => new RequestDrainer());
    kernel.provide(
      eventLoopDelayMonitorToken,
      resolver =>
        new EventLoopDelayMonitor(
          () => resolver.get(targetRegistryToken).activity.isIdle,
          () => {
            resolver.get(eventLoopUsageToken).update();
          },
        ),
    );
    kernel.provide(
      eventLoopUsageToken,
      resolver =>
        new EventLoopUsage(({ busyShare, windowMs }) => {
          resolver.get(logToken).writeEvent('instance_saturated', {
            busy_share: Number(busyShare.toFixed(2)),
            window_ms: Math.round(windowMs),
          });
        }),
    );
    let callerServer: Listener | undefined;
    kernel.addLifecycleHook({
      name: 'callers',
      rank: startOrder.callers,
      start: async () => {
        kernel.get(eventLoopDelayMonitorToken).start();
        callerServer = await openCallerServer(kernel);
      },
    });
    registerListener(kernel, 'readiness', startOrder.readiness, () =>
      openReadinessServer(kernel),
    );
    registerListener(kernel, 'metrics', startOrder.metrics, () =>
      openMetricsServer(kernel),
    );
    kernel.addLifecycleHook({
      name: 'drain',
      rank: startOrder.drain,
      stop: () =>
        drainServer(kernel, () => {
          void callerServer?.close();
        }),
    });
  },
};
