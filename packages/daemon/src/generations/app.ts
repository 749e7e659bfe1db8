/** Registers the streams of generations and their interfaces. */
import {
  DispatchNotifier,
  OutputLengthEstimator,
  RetryBudget,
  StreamDispatcher,
} from '@medlarlever/core';

import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  admissionPart,
  demandPart,
  directoryPart,
  dispatchNewsPart,
  generationServicePart,
  generationsPart,
  loadBookPart,
  logPart,
  meshPart,
  prefixesPart,
  quarantinePart,
  randomPart,
  requestLogPart,
  requestMetricsPart,
  routerPart,
  settingsPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

import { GenerationController } from './generation-controller.js';
import { Generations } from './generation-service.js';

const createDispatcher = (kernel: DaemonKernel): StreamDispatcher => {
  const { secret, heartbeat_limit_ms } = kernel.get(settingsPart).streams;
  return new StreamDispatcher({
    directory: kernel.get(directoryPart),
    router: kernel.get(routerPart),
    loadEstimator: kernel.get(loadBookPart),
    prefixIndex: kernel.get(prefixesPart),
    outputLengthEstimator: new OutputLengthEstimator(),
    quarantine: kernel.get(quarantinePart),
    peers: kernel.get(meshPart),
    retryLimiter: new RetryBudget(),
    log: kernel.get(logPart),
    secret,
    dispatchNotifier: kernel.get(dispatchNewsPart),
    metrics: kernel.get(requestMetricsPart),
    settings: { silence_ms: heartbeat_limit_ms },
  });
};

registerApp('generations', kernel => {
  kernel.provide(
    dispatchNewsPart,
    k =>
      new DispatchNotifier({
        loadEstimator: k.get(loadBookPart),
        peers: k.get(meshPart),
        random: k.get(randomPart),
      }),
  );
  kernel.provide(generationsPart, () => createDispatcher(kernel));
  kernel.provide(
    generationServicePart,
    k =>
      new Generations({
        admission: k.get(admissionPart),
        dispatcher: k.get(generationsPart),
        log: k.get(requestLogPart),
        metrics: k.get(requestMetricsPart),
        demand: k.get(demandPart),
      }),
  );
  kernel.controller('caller', GenerationController);
  kernel.deferMethods(() => kernel.get(dispatchNewsPart).getPeerMethods());
  kernel.deferMethods(() => kernel.get(generationsPart).getPeerMethods());
  const stopping = new AbortController();
  kernel.addLifecycleHook({
    name: 'dispatch news',
    rank: startRank.targets,
    start: () => {
      void kernel.get(dispatchNewsPart).run(stopping.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopping.abort();
      return Promise.resolve();
    },
  });
});
