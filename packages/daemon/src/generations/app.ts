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
  dispatchNotifierToken,
  generationServiceToken,
  streamDispatcherToken,
  loadEstimatorToken,
  logToken,
  peerMeshToken,
  prefixIndexToken,
  quarantineToken,
  randomSourceToken,
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
    loadEstimator: kernel.get(loadEstimatorToken),
    prefixIndex: kernel.get(prefixIndexToken),
    outputLengthEstimator: new OutputLengthEstimator(),
    quarantine: kernel.get(quarantineToken),
    peers: kernel.get(peerMeshToken),
    retryLimiter: new RetryBudget(),
    log: kernel.get(logToken),
    secret,
    dispatchNotifier: kernel.get(dispatchNotifierToken),
    metrics: kernel.get(requestMetricsToken),
    settings: { silence_ms: heartbeat_limit_ms },
  });
};

registerFeature('generations', kernel => {
  kernel.provide(
    dispatchNotifierToken,
    resolver =>
      new DispatchNotifier({
        loadEstimator: resolver.get(loadEstimatorToken),
        peers: resolver.get(peerMeshToken),
        random: resolver.get(randomSourceToken),
      }),
  );
  kernel.provide(streamDispatcherToken, () => createStreamDispatcher(kernel));
  kernel.provide(
    generationServiceToken,
    resolver =>
      new GenerationService({
        admission: resolver.get(admissionToken),
        dispatcher: resolver.get(streamDispatcherToken),
        requestLog: resolver.get(requestLogToken),
        metrics: resolver.get(requestMetricsToken),
        demandTracker: resolver.get(demandTrackerToken),
      }),
  );
  kernel.addController('caller', GenerationController);
  kernel.deferPeerMethods(() =>
    kernel.get(dispatchNotifierToken).getPeerMethods(),
  );
  kernel.deferPeerMethods(() =>
    kernel.get(streamDispatcherToken).getPeerMethods(),
  );
  const stopController = new AbortController();
  kernel.addLifecycleHook({
    name: 'dispatch news',
    rank: startOrder.targets,
    start: () => {
      void kernel.get(dispatchNotifierToken).run(stopController.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopController.abort();
      return Promise.resolve();
    },
  });
});
