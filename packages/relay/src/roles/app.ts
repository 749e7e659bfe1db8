/** Plugin that assigns roles to engines, as a duty of the leader. */
import type { Kernel, Plugin } from '@medlarlever/core';

import {
  dutyLeaderToken,
  prefillDemandToken,
  engineControlClientToken,
  logToken,
  instanceRegistryToken,
  targetClosureBroadcasterToken,
  routesToken,
  serviceStatesToken,
  targetLinkToken,
  targetRegistryToken,
  peerTopologyToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { PrefillDemand } from './prefill-demand.js';
import { RoleDuty } from './role-duty.js';
import { TargetClosureBroadcaster } from './target-closure-broadcaster.js';

const createRoleDuty = (kernel: Kernel): RoleDuty =>
  new RoleDuty({
    registry: kernel.get(instanceRegistryToken),
    routes: kernel.get(routesToken),
    targets: kernel.get(targetRegistryToken),
    isCutOff: () => kernel.get(targetLinkToken).isCutOff,
    services: kernel.get(serviceStatesToken),
    demand: kernel.get(prefillDemandToken),
    engineControl: kernel.get(engineControlClientToken),
    closures: kernel.get(targetClosureBroadcasterToken),
    log: kernel.get(logToken),
  });

/** Provides the parts and registers the duty. */
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
    kernel.addLifecycleHook({
      name: 'roles',
      rank: startOrder.control,
      start: () => {
        kernel.get(dutyLeaderToken).addDuty(createRoleDuty(kernel));
        return Promise.resolve();
      },
    });
  },
};
