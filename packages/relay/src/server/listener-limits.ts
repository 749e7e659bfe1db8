/** Limits of the connections at each interface of the instance. */
import { ConnectionGuard, LimitLog } from '@medlarlever/core';
import type { Kernel } from '@medlarlever/core';

import {
  logToken,
  relayMetricsToken,
  settingsToken,
} from '../kernel/tokens.js';

/** An interface of the instance. */
export type ListenerName = 'callers' | 'peers' | 'readiness' | 'metrics';

/** Descriptors that files and the like take. */
const otherDescriptors = 200;

/** Descriptors of a process if its settings name no limit. */
const defaultDescriptors = 4_096;

/** Shares of the other descriptors; the rest is for connections to targets, peers and the table. */
const descriptorShares: Readonly<Record<ListenerName, number>> = {
  callers: 0.55,
  peers: 0.15,
  readiness: 0.05,
  metrics: 0.05,
};

/** Shares of the process memory that may be taken by what was sent ahead. */
const heldMemoryShares: Readonly<Record<ListenerName, number>> = {
  callers: 0.04,
  peers: 0.02,
  readiness: 0.005,
  metrics: 0.005,
};

/** Memory of a process if its settings name no limit, in bytes. */
const defaultMemoryBytes = 512 * 1024 * 1024;

/** Creates the guard of an interface, whose limits follow the settings in force. */
export const createListenerGuard = (
  kernel: Kernel,
  name: ListenerName,
): ConnectionGuard => {
  const settings = kernel.get(settingsToken);
  const metrics = kernel.get(relayMetricsToken);
  const log = new LimitLog(kernel.get(logToken), name);
  return new ConnectionGuard({
    getMaxConnections: () => {
      const { maxDescriptors = defaultDescriptors } = settings.current;
      const sockets = maxDescriptors - otherDescriptors;
      return Math.max(1, Math.floor(sockets * descriptorShares[name]));
    },
    getMaxHeldBytes: () => {
      const { memoryBytes = defaultMemoryBytes } = settings.current;
      return memoryBytes * heldMemoryShares[name];
    },
    onLimit: limit => {
      metrics.recordClosedConnection(name, limit);
      log.record(limit);
    },
  });
};
