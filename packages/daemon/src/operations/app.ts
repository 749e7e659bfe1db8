/** Registers the ledger, the retry layer and the interface of services. */
import {
  IdempotencyRateLimiter,
  Deadline,
  IdempotentExecutor,
  IdempotentDispatcher,
  ServiceRunner,
  ServiceTargets,
} from '@medlarlever/core';

import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  directoryPart,
  fleetWatcherPart,
  incarnationPart,
  ledgerPart,
  logPart,
  operationsPart,
  quarantinePart,
  randomPart,
  registryPart,
  requestMetricsPart,
  serviceTargetsPart,
  settingsPart,
  tablePart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

import { OperationController } from './operation-controller.js';

/** How long a stop waits for answers that are not stored yet. */
const unsettledWaitMs = 10_000;

const createLedger = (kernel: DaemonKernel): IdempotentExecutor => {
  const watcher = kernel.get(fleetWatcherPart);
  return new IdempotentExecutor({
    table: kernel.get(tablePart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
    rateLimiter: new IdempotencyRateLimiter({
      countInstances: () => kernel.get(registryPart).listInstances().length,
    }),
    instance: kernel.get(settingsPart).instance.name,
    incarnation: kernel.get(incarnationPart),
    isGone: (_instance, incarnation) => watcher.isGone(incarnation),
  });
};

const createTargets = (kernel: DaemonKernel): ServiceTargets =>
  new ServiceTargets({
    directory: kernel.get(directoryPart),
    quarantine: kernel.get(quarantinePart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
  });

const createDispatcher = (kernel: DaemonKernel): IdempotentDispatcher =>
  new IdempotentDispatcher({
    executor: kernel.get(ledgerPart),
    runner: new ServiceRunner({
      targets: kernel.get(serviceTargetsPart),
      quarantine: kernel.get(quarantinePart),
      log: kernel.get(logPart),
      metrics: kernel.get(requestMetricsPart),
    }),
  });

registerApp('operations', kernel => {
  kernel.provide(ledgerPart, () => createLedger(kernel));
  kernel.provide(serviceTargetsPart, () => createTargets(kernel));
  kernel.provide(operationsPart, () => createDispatcher(kernel));
  kernel.controller('caller', OperationController);
  kernel.addLifecycleHook({
    name: 'ledger',
    rank: startRank.control,
    stop: async () => {
      const deadline = Deadline.after(unsettledWaitMs);
      await kernel.get(ledgerPart).waitAndStop(deadline);
    },
  });
});
