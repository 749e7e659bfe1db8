/** Plugin that assigns roles to engines from a leader elected by lease. */
import { Leases } from '@medlarlever/core';
import type { Kernel, Plugin } from '@medlarlever/core';

import {
  prefillDemandToken,
  engineControlClientToken,
  incarnationToken,
  shutdownStartControllerToken,
  logToken,
  randomToken,
  instanceRegistryToken,
  roleLeaderToken,
  targetClosureBroadcasterToken,
  routesToken,
  serviceStatesToken,
  settingsToken,
  tableToken,
  targetLinkToken,
  targetRegistryToken,
  peerTopologyToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { PrefillDemand } from './prefill-demand.js';
import { RoleLeader } from './role-leader.js';
import { TargetClosureBroadcaster } from './target-closure-broadcaster.js';

const createRoleLeader = (kernel: Kernel): RoleLeader => {
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
  return new RoleLeader({
    table,
    leases,
    registry: kernel.get(instanceRegistryToken),
    routes: kernel.get(routesToken),
    targets: kernel.get(targetRegistryToken),
    isCutOff: () => kernel.get(targetLinkToken).isCutOff,
    services: kernel.get(serviceStatesToken),
    demand: kernel.get(prefillDemandToken),
    engineControl: kernel.get(engineControlClientToken),
    closures: kernel.get(targetClosureBroadcasterToken),
    log,
    random,
    leaseDurationMs: roleLeaseDurationMs,
  });
};

/** Provides the role leader and starts it at the `control` start order. */
export const rolesPlugin: Plugin = {
  name: 'roles',
  register: kernel => {
    kernel.provide(prefillDemandToken, () => new PrefillDemand());
    kernel.provide(
      targetClosureBroadcasterToken,
      resolver =>
        new TargetClosureBroadcaster(
          resolver.get(peerTopologyToken),
          resolver.get(targetRegistryToken),
        ),
    );
    kernel.provide(roleLeaderToken, createRoleLeader);
    kernel.addLifecycleHook({
      name: 'roles',
      rank: startOrder.control,
      start: () => {
        const { signal } = kernel.get(shutdownStartControllerToken);
        void kernel.get(roleLeaderToken).run(signal);
        return Promise.resolve();
      },
    });
  },
};
