/** Registers leases, orders and planned changes. */
import {
  ClosedTargets,
  TargetCloser,
  Engine,
  LeaseManager,
  CommandCoordinator,
  PlanCommandRunner,
  PlanLease,
  PlanRunner,
  PlanStore,
  PlanManager,
} from '@medlarlever/core';
import { Maybe } from 'purify-ts';

import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  closedTargetsPart,
  directoryPart,
  fleetListPart,
  incarnationPart,
  leasesPart,
  loadBookPart,
  logPart,
  meshPart,
  ordersPart,
  planLeasePart,
  planRunnerPart,
  planStorePart,
  plannerPart,
  randomPart,
  registryPart,
  serviceTargetsPart,
  settingsPart,
  tablePart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

const holderOf = (kernel: DaemonKernel) => ({
  name: kernel.get(settingsPart).instance.name,
  incarnation: kernel.get(incarnationPart),
});

const createLeases = (kernel: DaemonKernel): LeaseManager =>
  new LeaseManager({
    table: kernel.get(tablePart),
    self: holderOf(kernel),
    random: kernel.get(randomPart),
    log: kernel.get(logPart),
  });

const createOrders = (kernel: DaemonKernel): CommandCoordinator => {
  const directory = kernel.get(directoryPart);
  const { checks_fencing } = kernel.get(settingsPart).targets;
  return new CommandCoordinator({
    table: kernel.get(tablePart),
    fleet: kernel.get(fleetListPart),
    self: holderOf(kernel),
    findEngine: target =>
      directory
        .findTarget(target)
        .chain(entry =>
          entry.target instanceof Engine
            ? Maybe.of(entry.target)
            : Maybe.empty(),
        ),
    checksFencing: target => checks_fencing.includes(target),
    random: kernel.get(randomPart),
    log: kernel.get(logPart),
  });
};

const createClosedTargets = (kernel: DaemonKernel): ClosedTargets => {
  const loads = kernel.get(loadBookPart);
  const services = kernel.get(serviceTargetsPart);
  return new ClosedTargets({
    store: kernel.get(planStorePart),
    directory: kernel.get(directoryPart),
    peers: kernel.get(meshPart),
    countRunning: target =>
      loads.countRunningDispatches(target) + services.countInFlight(target),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
  });
};

const createRunner = (kernel: DaemonKernel): PlanRunner => {
  const carrier = new PlanCommandRunner({
    leases: kernel.get(leasesPart),
    commands: kernel.get(ordersPart),
  });
  const mesh = kernel.get(meshPart);
  return new PlanRunner({
    dataCenter: mesh.dataCenter,
    store: kernel.get(planStorePart),
    closer: new TargetCloser({
      registry: kernel.get(registryPart),
      closedTargets: kernel.get(closedTargetsPart),
      getPeer: name => mesh.getPeer(name),
    }),
    directory: kernel.get(directoryPart),
    acquireLease: () => kernel.get(planLeasePart).acquireLease(),
    advanceCommand: (plan, action) => carrier.advanceCommand(plan, action),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
  });
};

registerApp('plans', kernel => {
  kernel.provide(leasesPart, () => createLeases(kernel));
  kernel.provide(ordersPart, () => createOrders(kernel));
  kernel.provide(
    planLeasePart,
    k =>
      new PlanLease({
        leases: k.get(leasesPart),
        dataCenter: k.get(settingsPart).instance.data_center,
      }),
  );
  kernel.provide(
    planStorePart,
    k => new PlanStore({ table: k.get(tablePart), random: k.get(randomPart) }),
  );
  kernel.provide(closedTargetsPart, () => createClosedTargets(kernel));
  kernel.provide(planRunnerPart, () => createRunner(kernel));
  kernel.provide(
    plannerPart,
    k =>
      new PlanManager({
        store: k.get(planStorePart),
        directory: k.get(directoryPart),
      }),
  );
  kernel.deferMethods(() => kernel.get(closedTargetsPart).peerMethods());
  kernel.addLifecycleHook({
    name: 'plans',
    rank: startRank.control,
    start: async () => {
      await kernel.get(closedTargetsPart).refreshFromPlans();
      void kernel.get(closedTargetsPart).refreshUntilStopped();
      void kernel.get(planRunnerPart).advanceUntilStopped();
    },
    stop: async () => {
      kernel.get(planRunnerPart).stop();
      kernel.get(closedTargetsPart).stop();
      kernel.get(ordersPart).stop();
      await kernel.get(planLeasePart).releaseLease();
    },
  });
});
