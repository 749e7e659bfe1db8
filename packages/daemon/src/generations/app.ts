/** Registers the dispatch of generations and the completion interfaces. */
import {
  DispatchNotifier,
  OutputLengthEstimator,
  RetryBudget,
  StreamDispatcher,
} from '@medlarlever/core';

import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  admissionToken,
  demandTrackerToken,
  fleetDirectoryToken,
  dispatchNewsToken,
  generationServiceToken,
  streamDispatcherToken,
  loadBookToken,
  logToken,
  peerMeshToken,
  prefixIndexToken,
  quarantineToken,
  randomToken,
  requestLogToken,
  requestMetricsToken,
  routerToken,
  settingsToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { GenerationController } from './generation-controller.js';
import { GenerationService } from './generation-service.js';

const createStreamDispatcher = (kernel: DaemonKernel): StreamDispatcher => {
  const { secret, heartbeat_limit_ms } = kernel.get(settingsToken).streams;
  return new StreamDispatcher({
    directory: kernel.get(fleetDirectoryToken),
    router: kernel.get(routerToken),
    loadEstimator: kernel.get(loadBookToken),
    prefixIndex: kernel.get(prefixIndexToken),
    outputLengthEstimator: new OutputLengthEstimator(),
    quarantine: kernel.get(quarantineToken),
    peers: kernel.get(peerMeshToken),
    retryLimiter: new RetryBudget(),
    log: kernel.get(logToken),
    secret,
    dispatchNotifier: kernel.get(dispatchNewsToken),
    metrics: kernel.get(requestMetricsToken),
    settings: { silence_ms: heartbeat_limit_ms },
  });
};

registerFeature('generations', kernel => {
  kernel.provide(
    dispatchNewsToken,
    k =>
      new DispatchNotifier({
        loadEstimator: k.get(loadBookToken),
        peers: k.get(peerMeshToken),
        random: k.get(randomToken),
      }),
  );
  kernel.provide(streamDispatcherToken, () => createStreamDispatcher(kernel));
  kernel.provide(
    generationServiceToken,
    k =>
      new GenerationService({
        admission: k.get(admissionToken),
        dispatcher: k.get(streamDispatcherToken),
        log: k.get(requestLogToken),
        metrics: k.get(requestMetricsToken),
        demand: k.get(demandTrackerToken),
      }),
  );
  kernel.addController('caller', GenerationController);
  kernel.deferPeerMethods(() => kernel.get(dispatchNewsToken).getPeerMethods());
  kernel.deferPeerMethods(() =>
    kernel.get(streamDispatcherToken).getPeerMethods(),
  );
  const stopController = new AbortController();
  kernel.addLifecycleHook({
    name: 'dispatch news',
    rank: startOrder.targets,
    start: () => {
      void kernel.get(dispatchNewsToken).run(stopController.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopController.abort();
      return Promise.resolve();
    },
  });
});
