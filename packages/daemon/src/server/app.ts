/** Registers the three interfaces and the graceful shutdown. */
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

/** Time for streams that are handed over to say so to their callers. */
const handoverTimeoutMs = 1_000;

/** Lets the balancer notice, then the running requests end. */
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

const waitForIdle = async (readiness: Readiness, ms: number): Promise<void> => {
  const done = new AbortController();
  await Promise.race([readiness.waitForIdle(), sleep(ms, done.signal)]);
  done.abort();
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
