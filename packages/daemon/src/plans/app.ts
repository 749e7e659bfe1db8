/**
 * Registers the components for leases, commands to engines and maintenance
 * plans.
 */
import {
  ClosedTargets,
  TargetCloser,
  Engine,
  Leases,
  CommandCoordinator,
  PlanCommandRunner,
  PlanLease,
  PlanRunner,
  PlanStore,
  PlanManager,
} from '@medlarlever/core';
import { Maybe } from 'purify-ts';

import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  closedTargetsToken,
  fleetDirectoryToken,
  fleetListToken,
  incarnationToken,
  leaseManagerToken,
  loadEstimatorToken,
  logToken,
  peerMeshToken,
  commandCoordinatorToken,
  planLeaseToken,
  planRunnerToken,
  planStoreToken,
  planManagerToken,
  randomSourceToken,
  instanceRegistryToken,
  serviceTargetsToken,
  settingsToken,
  tableToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

const getLeaseHolder = (kernel: DaemonKernel) => ({
  name: kernel.get(settingsToken).instance.name,
  incarnation: kernel.get(incarnationToken),
});

const createLeases = (kernel: DaemonKernel): Leases =>
  new Leases({
    table: kernel.get(tableToken),
    self: getLeaseHolder(kernel),
    random: kernel.get(randomSourceToken),
    log: kernel.get(logToken),
  });

const createCommandCoordinator = (kernel: DaemonKernel): CommandCoordinator => {
  const directory = kernel.get(fleetDirectoryToken);
  const { checks_fencing } = kernel.get(settingsToken).targets;
  return new CommandCoordinator({
    table: kernel.get(tableToken),
    fleet: kernel.get(fleetListToken),
    self: getLeaseHolder(kernel),
    findEngine: target =>
      directory
        .findTarget(target)
        .chain(entry =>
          entry.target instanceof Engine
            ? Maybe.of(entry.target)
            : Maybe.empty(),
        ),
    checksFencing: target => checks_fencing.includes(target),
    random: kernel.get(randomSourceToken),
    log: kernel.get(logToken),
  });
};

/**
 * Creates the component that keeps targets closed; both generations and service
 * calls of this instance count as running on a target.
 */
const createClosedTargets = (kernel: DaemonKernel): ClosedTargets => {
  const loadEstimator = kernel.get(loadEstimatorToken);
  const serviceTargets = kernel.get(serviceTargetsToken);
  return new ClosedTargets({
    store: kernel.get(planStoreToken),
    directory: kernel.get(fleetDirectoryToken),
    peers: kernel.get(peerMeshToken),
    countRunning: target =>
      loadEstimator.countRunningDispatches(target) +
      serviceTargets.countInFlight(target),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
  });
};

const createPlanRunner = (kernel: DaemonKernel): PlanRunner => {
  const commandRunner = new PlanCommandRunner({
    leases: kernel.get(leaseManagerToken),
    commands: kernel.get(commandCoordinatorToken),
  });
  const peerMesh = kernel.get(peerMeshToken);
  return new PlanRunner({
    dataCenter: peerMesh.dataCenter,
    store: kernel.get(planStoreToken),
    closer: new TargetCloser({
      registry: kernel.get(instanceRegistryToken),
      closedTargets: kernel.get(closedTargetsToken),
      getPeer: name => peerMesh.getPeer(name),
    }),
    directory: kernel.get(fleetDirectoryToken),
    acquireLease: () => kernel.get(planLeaseToken).acquireLease(),
    advanceCommand: (plan, action) =>
      commandRunner.advanceCommand(plan, action),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
  });
};

registerFeature('plans', kernel => {
  kernel.provide(leaseManagerToken, () => createLeases(kernel));
  kernel.provide(commandCoordinatorToken, () =>
    createCommandCoordinator(kernel),
  );
  kernel.provide(
    planLeaseToken,
    resolver =>
      new PlanLease({
        leases: resolver.get(leaseManagerToken),
        dataCenter: resolver.get(settingsToken).instance.data_center,
      }),
  );
  kernel.provide(
    planStoreToken,
    resolver =>
      new PlanStore({
        table: resolver.get(tableToken),
        random: resolver.get(randomSourceToken),
      }),
  );
  kernel.provide(closedTargetsToken, () => createClosedTargets(kernel));
  kernel.provide(planRunnerToken, () => createPlanRunner(kernel));
  kernel.provide(
    planManagerToken,
    resolver =>
      new PlanManager({
        store: resolver.get(planStoreToken),
        directory: resolver.get(fleetDirectoryToken),
      }),
  );
  kernel.deferPeerMethods(() =>
    kernel.get(closedTargetsToken).getPeerMethods(),
  );
  kernel.addLifecycleHook({
    name: 'plans',
    rank: startOrder.controlLoops,
    start: async () => {
      await kernel.get(closedTargetsToken).refreshFromPlans();
      void kernel.get(closedTargetsToken).refreshUntilStopped();
      void kernel.get(planRunnerToken).advanceUntilStopped();
    },
    stop: async () => {
      kernel.get(planRunnerToken).stop();
      kernel.get(closedTargetsToken).stop();
      kernel.get(commandCoordinatorToken).stop();
      await kernel.get(planLeaseToken).releaseLease();
    },
  });
});
