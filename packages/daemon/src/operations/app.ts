/**
 * Registers the idempotent execution of service operations, the retries and the
 * callers' interface of services.
 */
import {
  IdempotencyRateLimiter,
  Deadline,
  IdempotentExecutor,
  IdempotentDispatcher,
  ServiceRunner,
  ServiceTargets,
} from '@medlarlever/core';

import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  fleetDirectoryToken,
  fleetWatcherToken,
  incarnationToken,
  idempotentExecutorToken,
  logToken,
  serviceDispatcherToken,
  quarantineToken,
  randomSourceToken,
  instanceRegistryToken,
  requestMetricsToken,
  serviceTargetsToken,
  settingsToken,
  tableToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { OperationController } from './operation-controller.js';

/** Longest wait at stop for results that are not yet stored in the table. */
const executorStopTimeoutMs = 10_000;

const createIdempotentExecutor = (kernel: DaemonKernel): IdempotentExecutor => {
  const fleetWatcher = kernel.get(fleetWatcherToken);
  return new IdempotentExecutor({
    table: kernel.get(tableToken),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
    rateLimiter: new IdempotencyRateLimiter({
      countInstances: () =>
        kernel.get(instanceRegistryToken).listInstances().length,
    }),
    instance: kernel.get(settingsToken).instance.name,
    incarnation: kernel.get(incarnationToken),
    isGone: (_instance, incarnation) => fleetWatcher.isGone(incarnation),
  });
};

const createServiceTargets = (kernel: DaemonKernel): ServiceTargets =>
  new ServiceTargets({
    directory: kernel.get(fleetDirectoryToken),
    quarantine: kernel.get(quarantineToken),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
  });

const createServiceDispatcher = (kernel: DaemonKernel): IdempotentDispatcher =>
  new IdempotentDispatcher({
    executor: kernel.get(idempotentExecutorToken),
    runner: new ServiceRunner({
      targets: kernel.get(serviceTargetsToken),
      quarantine: kernel.get(quarantineToken),
      log: kernel.get(logToken),
      metrics: kernel.get(requestMetricsToken),
    }),
  });

registerFeature('operations', kernel => {
  kernel.provide(idempotentExecutorToken, () =>
    createIdempotentExecutor(kernel),
  );
  kernel.provide(serviceTargetsToken, () => createServiceTargets(kernel));
  kernel.provide(serviceDispatcherToken, () => createServiceDispatcher(kernel));
  kernel.addController('caller', OperationController);
  kernel.addLifecycleHook({
    name: 'ledger',
    rank: startOrder.controlLoops,
    stop: async () => {
      const deadline = Deadline.after(executorStopTimeoutMs);
      await kernel.get(idempotentExecutorToken).waitAndStop(deadline);
    },
  });
});
