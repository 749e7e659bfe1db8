/** Registers the role controller for the engines of this data centre. */
import {
  PlannedRoleChanger,
  RoleController,
  createRolePolicy,
  engineSpeedSchema,
} from '@medlarlever/core';

import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  demandTrackerToken,
  fleetDirectoryToken,
  loadEstimatorToken,
  logToken,
  peerMeshToken,
  planLeaseToken,
  planManagerToken,
  prefixIndexToken,
  randomSourceToken,
  roleControllerToken,
  settingsToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { DemandTracker } from './demand-tracker.js';
import { LeasedViewSource } from './leased-view-source.js';

const createRoleController = (kernel: DaemonKernel): RoleController => {
  const { policy, change_cost, period_ms } = kernel.get(settingsToken).roles;
  return new RoleController({
    policy: createRolePolicy(
      { policy, change_cost },
      engineSpeedSchema.parse({}),
    ),
    viewSource: new LeasedViewSource({
      lease: kernel.get(planLeaseToken),
      directory: kernel.get(fleetDirectoryToken),
      loadEstimator: kernel.get(loadEstimatorToken),
      demandTracker: kernel.get(demandTrackerToken),
    }),
    roleChanger: new PlannedRoleChanger(kernel.get(planManagerToken)),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
    periodMs: period_ms,
  });
};

registerFeature('roles', kernel => {
  kernel.provide(
    demandTrackerToken,
    resolver =>
      new DemandTracker({
        peers: resolver.get(peerMeshToken),
        prefixIndex: resolver.get(prefixIndexToken),
        directory: resolver.get(fleetDirectoryToken),
      }),
  );
  kernel.provide(roleControllerToken, () => createRoleController(kernel));
  kernel.deferPeerMethods(() =>
    kernel.get(demandTrackerToken).getPeerMethods(),
  );
  const stopController = new AbortController();
  kernel.addLifecycleHook({
    name: 'roles',
    rank: startOrder.controlLoops,
    start: () => {
      void kernel.get(roleControllerToken).run(stopController.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopController.abort();
      return Promise.resolve();
    },
  });
});
