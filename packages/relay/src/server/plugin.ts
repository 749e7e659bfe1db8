/** Registers the callers' interface, readiness, metrics and the drain. */
import type { Kernel, Plugin } from '@medlarlever/core';
import { Registry } from 'prom-client';

import { awaitCloseOrTimeout } from '../kernel/close-timeout.js';
import {
  requestDrainerToken,
  droppedLogLinesToken,
  shutdownStartControllerToken,
  logToken,
  eventLoopDelayMonitorToken,
  metricsRegistryToken,
  instanceRegistryToken,
  relayToken,
  requestDecoderToken,
  routeWatcherToken,
  routesToken,
  serviceStatesToken,
  settingsToken,
  targetWatcherToken,
  targetsToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';
import { registerStateGauges } from '../metrics/state-gauges.js';

import { CallerServer } from './caller-server.js';
import { RequestDrainer } from './request-drainer.js';
import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { StatusServer } from './status-server.js';

/** Something that listens until it is closed. */
interface Listener {
  close(): Promise<void>;
}

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
    ...kernel.get(settingsToken).current.callers,
  });

/** Ready while it can serve what it can, with or without the platform. */
const isReady = (kernel: Kernel): boolean =>
  !kernel.get(requestDrainerToken).isDraining &&
  kernel.get(routesToken).currentTable !== undefined &&
  kernel.get(targetsToken).targetCount > 0;

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
  const pages = [{ path: readinessPath, answer }];
  return StatusServer.open(readiness.host, readiness.port, pages);
};

const openMetricsServer = (kernel: Kernel): Promise<Listener> => {
  const registry = kernel.get(metricsRegistryToken);
  registerStateGauges({
    registry,
    routes: kernel.get(routesToken),
    targets: kernel.get(targetsToken),
    services: kernel.get(serviceStatesToken),
    instances: kernel.get(instanceRegistryToken),
    watchers: [kernel.get(routeWatcherToken), kernel.get(targetWatcherToken)],
    eventLoopDelayMs: () =>
      kernel.get(eventLoopDelayMonitorToken).currentDelayMs,
    droppedLogLines: kernel.get(droppedLogLinesToken),
  });
  const answer = async () => ({
    status: 200,
    type: registry.contentType,
    text: await registry.metrics(),
  });
  const { host, port } = kernel.get(settingsToken).current.metrics;
  return StatusServer.open(host, port, [{ path: '/metrics', answer }]);
};

/** `stopAccepting` closes the callers' interface but for what runs. */
const drainServer = async (
  kernel: Kernel,
  stopAccepting: () => void,
): Promise<void> => {
  const drained = kernel.get(requestDrainerToken);
  const log = kernel.get(logToken);
  log.writeEvent('process_draining', { running: drained.runningRequests });
  kernel.get(instanceRegistryToken).updateSelf({ state: 'leaving' });
  kernel.get(shutdownStartControllerToken).abort();
  const { gracePeriodMs: graceMs } = kernel.get(settingsToken).current;
  await drained.drainRequests(graceMs, stopAccepting);
};

export const serverPlugin: Plugin = {
  name: 'server',
  register: kernel => {
    kernel.provide(metricsRegistryToken, () => new Registry());
    kernel.provide(requestDrainerToken, () => new RequestDrainer());
    kernel.provide(
      eventLoopDelayMonitorToken,
      () => new EventLoopDelayMonitor(),
    );
    let callers: Listener | undefined;
    kernel.addLifecycleHook({
      name: 'callers',
      rank: startOrder.callers,
      start: async () => {
        kernel.get(eventLoopDelayMonitorToken).start();
        callers = await openCallerServer(kernel);
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
          void callers?.close();
        }),
    });
  },
};
