/** Registers the three HTTP interfaces and the graceful shutdown. */
import { sleep } from '@medlarlever/core';

import type { Readiness } from '../health/readiness.js';
import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel, InterfaceName } from '../kernel/daemon-kernel.js';
import {
  listenerRegistryToken,
  logToken,
  readinessToken,
  instanceRegistryToken,
  settingsToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { Listener } from './listener.js';
import { ListenerRegistry } from './listener-registry.js';

/** Opens the interface at start and closes it at stop. */
const registerListener = (
  kernel: DaemonKernel,
  name: InterfaceName,
  rank: number,
): void => {
  kernel.addLifecycleHook({
    name: `${name} listener`,
    rank,
    start: async () => {
      const address = kernel.get(settingsToken).listen[name];
      const listener = await Listener.open(kernel, name, address);
      kernel.get(listenerRegistryToken).add(name, listener);
    },
    stop: () => kernel.get(listenerRegistryToken).close(name),
  });
};

/**
 * Longest wait after `handOverStreams`, in which the ended streams send their
 * last event (`shutting_down`) to their callers.
 */
const handoverTimeoutMs = 1_000;

/**
 * Drains the instance: reports it as not ready, waits `notice_ms` so that the
 * load balancer sees the change, refuses new requests, waits up to `grace_ms`
 * for running requests and ends the remaining streams, which their callers
 * resume through other instances.
 */
const drainRequests = async (kernel: DaemonKernel): Promise<void> => {
  const { shutdown } = kernel.get(settingsToken);
  const readiness = kernel.get(readinessToken);
  kernel
    .get(logToken)
    .writeEvent('process_draining', { running: readiness.runningCount });
  kernel.get(instanceRegistryToken).updateSelf({ state: 'leaving' });
  readiness.startDraining();
  await sleep(shutdown.notice_ms);
  readiness.startRefusing();
  await waitForIdle(readiness, shutdown.grace_ms);
  readiness.handOverStreams();
  await waitForIdle(readiness, handoverTimeoutMs);
};

/** Waits until no request runs, for at most `timeoutMs`. */
const waitForIdle = async (
  readiness: Readiness,
  timeoutMs: number,
): Promise<void> => {
  const timeoutController = new AbortController();
  await Promise.race([
    readiness.waitForIdle(),
    sleep(timeoutMs, timeoutController.signal),
  ]);
  timeoutController.abort();
};

registerFeature('server', kernel => {
  kernel.provide(listenerRegistryToken, () => new ListenerRegistry());
  registerListener(kernel, 'peer', startOrder.peerListener);
  registerListener(kernel, 'operator', startOrder.operatorListener);
  registerListener(kernel, 'caller', startOrder.callerListener);
  kernel.addLifecycleHook({
    name: 'drain',
    rank: startOrder.drain,
    stop: () => drainRequests(kernel),
  });
});
