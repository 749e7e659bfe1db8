/** Registers the callers' interface, readiness, metrics and the drain. */
import type { Kernel, Plugin } from '@medlarlever/core';
import { Registry } from 'prom-client';

import { closeSoon } from '../kernel/close-timeout.js';
import {
  drainPart,
  droppedLinesPart,
  leavingPart,
  logPart,
  loopDelayPart,
  metricsPart,
  registryPart,
  relayPart,
  requestDecoderPart,
  routeFollowerPart,
  routesPart,
  servicesPart,
  settingsPart,
  targetFollowerPart,
  targetsPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';
import { registerStateMetrics } from '../metrics/state-gauges.js';

import { CallerServer } from './caller-server.js';
import { Drain } from './request-drainer.js';
import { LoopDelay } from './event-loop-delay-monitor.js';
import { PageServer } from './status-server.js';

/** Something that listens until it is closed. */
interface Listener {
  close(): Promise<void>;
}

const addListener = (
  kernel: Kernel,
  name: string,
  rank: number,
  open: () => Promise<Listener>,
): void => {
  let listener: Listener | undefined;
  kernel.step({
    name,
    rank,
    start: async () => {
      listener = await open();
    },
    stop: async () => {
      if (listener !== undefined) await closeSoon(listener.close());
    },
  });
};

const openCallers = (kernel: Kernel): Promise<Listener> =>
  CallerServer.open({
    relay: kernel.get(relayPart),
    routes: kernel.get(routesPart),
    decoder: kernel.get(requestDecoderPart),
    drain: kernel.get(drainPart),
    loopDelay: kernel.get(loopDelayPart),
    ...kernel.get(settingsPart).current.callers,
  });

/** Ready while it can serve what it can, with or without the platform. */
const isReady = (kernel: Kernel): boolean =>
  !kernel.get(drainPart).draining &&
  kernel.get(routesPart).currentTable !== undefined &&
  kernel.get(targetsPart).targetCount > 0;

const openReadiness = (kernel: Kernel): Promise<Listener> => {
  const { readiness, readinessPath } = kernel.get(settingsPart).current;
  const answer = () => {
    const ready = isReady(kernel);
    return Promise.resolve({
      status: ready ? 200 : 503,
      type: 'text/plain',
      text: ready ? 'ready' : 'not ready',
    });
  };
  const pages = [{ path: readinessPath, answer }];
  return PageServer.open(readiness.host, readiness.port, pages);
};

const openMetrics = (kernel: Kernel): Promise<Listener> => {
  const registry = kernel.get(metricsPart);
  registerStateMetrics({
    registry,
    routes: kernel.get(routesPart),
    targets: kernel.get(targetsPart),
    services: kernel.get(servicesPart),
    instances: kernel.get(registryPart),
    feeds: [kernel.get(routeFollowerPart), kernel.get(targetFollowerPart)],
    behindMs: () => kernel.get(loopDelayPart).currentMs,
    droppedLines: kernel.get(droppedLinesPart),
  });
  const answer = async () => ({
    status: 200,
    type: registry.contentType,
    text: await registry.metrics(),
  });
  const { host, port } = kernel.get(settingsPart).current.metrics;
  return PageServer.open(host, port, [{ path: '/metrics', answer }]);
};

/** `stopAccepting` closes the callers' interface but for what runs. */
const drain = async (
  kernel: Kernel,
  stopAccepting: () => void,
): Promise<void> => {
  const drained = kernel.get(drainPart);
  const log = kernel.get(logPart);
  log.event('process_draining', { running: drained.running });
  kernel.get(registryPart).updateSelf({ state: 'leaving' });
  kernel.get(leavingPart).abort();
  const { graceMs } = kernel.get(settingsPart).current;
  await drained.run(graceMs, stopAccepting);
};

export const serverApp: Plugin = {
  name: 'server',
  register: kernel => {
    kernel.provide(metricsPart, () => new Registry());
    kernel.provide(drainPart, () => new Drain());
    kernel.provide(loopDelayPart, () => new LoopDelay());
    let callers: Listener | undefined;
    kernel.step({
      name: 'callers',
      rank: startRank.callers,
      start: async () => {
        kernel.get(loopDelayPart).start();
        callers = await openCallers(kernel);
      },
    });
    addListener(kernel, 'readiness', startRank.readiness, () =>
      openReadiness(kernel),
    );
    addListener(kernel, 'metrics', startRank.metrics, () =>
      openMetrics(kernel),
    );
    kernel.step({
      name: 'drain',
      rank: startRank.drain,
      stop: () =>
        drain(kernel, () => {
          void callers?.close();
        }),
    });
  },
};
