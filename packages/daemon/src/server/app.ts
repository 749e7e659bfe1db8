/** Registers the three interfaces and the graceful shutdown. */
import { sleep } from '@medlarlever/core';

import type { Readiness } from '../health/readiness.js';
import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel, Interface } from '../kernel/daemon-kernel.js';
import {
  listenersPart,
  logPart,
  readinessPart,
  registryPart,
  settingsPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

import { Listener } from './listener.js';
import { Listeners } from './listener-registry.js';

const registerListener = (
  kernel: DaemonKernel,
  name: Interface,
  rank: number,
): void => {
  kernel.addLifecycleHook({
    name: `${name} listener`,
    rank,
    start: async () => {
      const address = kernel.get(settingsPart).listen[name];
      const listener = await Listener.open(kernel, name, address);
      kernel.get(listenersPart).add(name, listener);
    },
    stop: () => kernel.get(listenersPart).close(name),
  });
};

/** Time for streams that are handed over to say so to their callers. */
const handoverMs = 1_000;

/** Lets the balancer notice, then the running requests end. */
const drain = async (kernel: DaemonKernel): Promise<void> => {
  const { shutdown } = kernel.get(settingsPart);
  const readiness = kernel.get(readinessPart);
  kernel
    .get(logPart)
    .writeEvent('process_draining', { running: readiness.running });
  kernel.get(registryPart).updateSelf({ state: 'leaving' });
  readiness.announceStop();
  await sleep(shutdown.notice_ms);
  readiness.refuse();
  await idleWithin(readiness, shutdown.grace_ms);
  readiness.handOver();
  await idleWithin(readiness, handoverMs);
};

const idleWithin = async (readiness: Readiness, ms: number): Promise<void> => {
  const done = new AbortController();
  await Promise.race([readiness.idle(), sleep(ms, done.signal)]);
  done.abort();
};

registerApp('server', kernel => {
  kernel.provide(listenersPart, () => new Listeners());
  registerListener(kernel, 'peer', startRank.peerListener);
  registerListener(kernel, 'operator', startRank.operatorListener);
  registerListener(kernel, 'caller', startRank.callerListener);
  kernel.addLifecycleHook({
    name: 'drain',
    rank: startRank.drain,
    stop: () => drain(kernel),
  });
});
