/**
 * Plugin that starts the leader. Other plugins register their duties with
 * `kernel.get(dutyLeaderToken).addDuty` in a lifecycle hook of rank `control`.
 */
import { Leases } from '@medlarlever/core';
import type { Kernel, Plugin } from '@medlarlever/core';

import { startOrder } from '../kernel/start-order.js';
import {
  dutyLeaderToken,
  incarnationToken,
  instanceRegistryToken,
  logToken,
  randomToken,
  settingsToken,
  shutdownStartControllerToken,
  tableToken,
} from '../kernel/tokens.js';

import { DutyLeader } from './duty-leader.js';

const createDutyLeader = (kernel: Kernel): DutyLeader => {
  const { instance, roleLeaseDurationMs } = kernel.get(settingsToken).current;
  const table = kernel.get(tableToken);
  const random = kernel.get(randomToken);
  const log = kernel.get(logToken);
  const leases = new Leases({
    table,
    self: { name: instance, incarnation: kernel.get(incarnationToken) },
    random,
    log,
    leaseDurationMs: roleLeaseDurationMs,
  });
  return new DutyLeader({
    leases,
    table,
    registry: kernel.get(instanceRegistryToken),
    log,
    random,
    leaseDurationMs: roleLeaseDurationMs,
  });
};

/** Provides the leader and starts it at the `control` start order. */
export const dutiesPlugin: Plugin = {
  name: 'duties',
  register: kernel => {
    kernel.provide(dutyLeaderToken, createDutyLeader);
    kernel.addLifecycleHook({
      name: 'duties',
      rank: startOrder.control,
      start: () => {
        const { signal } = kernel.get(shutdownStartControllerToken);
        void kernel.get(dutyLeaderToken).run(signal);
        return Promise.resolve();
      },
    });
  },
};
