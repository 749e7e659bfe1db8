/** Registers admission and the histograms of requests. */
import {
  FairAdmission,
  GenerationLimit,
  RequestMetrics,
  engineSpeedSchema,
  sleep,
} from '@medlarlever/core';
import type { AdmissionRequest } from '@medlarlever/core';

import { modelServiceName } from '../generations/generation-service.js';
import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  admissionToken,
  fleetDirectoryToken,
  loadBookToken,
  metricsRegistryToken,
  randomToken,
  instanceRegistryToken,
  requestMetricsToken,
  settingsToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

/** How often places are looked for that no release announced. */
const refreshIntervalMs = 100;
const expectedOperationMs = 100;
const msPerSecond = 1_000;

const routingSpeed = engineSpeedSchema.parse({});

/** Time until the first token, by which a late request is shed. */
const estimateRunMs = ({ promptTokens }: AdmissionRequest) =>
  promptTokens === 0
    ? expectedOperationMs
    : (msPerSecond * promptTokens) / routingSpeed.prefill_tokens_per_second;

/** Generations that run, plus one while some engine has room. */
const createModelLimit = (kernel: DaemonKernel): (() => number) => {
  const directory = kernel.get(fleetDirectoryToken);
  const book = kernel.get(loadBookToken);
  const bounds = new GenerationLimit({
    directory,
    loadEstimator: book,
    engineSpeed: routingSpeed,
  });
  return () => {
    const running = directory
      .listEngines()
      .reduce(
        (sum, { target }) => sum + book.countRunningDispatches(target.name),
        0,
      );
    return Math.max(1, bounds.computeMaxRunning(running));
  };
};

const createAdmission = (kernel: DaemonKernel): FairAdmission => {
  const { concurrency, queue } = kernel.get(settingsToken).requests;
  const registry = kernel.get(instanceRegistryToken);
  const modelsRunning = createModelLimit(kernel);
  return new FairAdmission({
    getServiceLimits: service => ({
      maxRunning:
        service === modelServiceName
          ? Math.min(concurrency, modelsRunning())
          : concurrency,
      maxQueued: queue,
    }),
    estimateRunMs,
    random: kernel.get(randomToken),
    getLimitShare: () => 1 / Math.max(1, registry.listInstances().length),
  });
};

const refreshAdmission = async (
  admission: FairAdmission,
  signal: AbortSignal,
): Promise<void> => {
  while (await sleep(refreshIntervalMs, signal)) admission.updateQueues();
};

registerFeature('admission', kernel => {
  kernel.provide(
    requestMetricsToken,
    k => new RequestMetrics({ registry: k.get(metricsRegistryToken) }),
  );
  kernel.provide(admissionToken, () => createAdmission(kernel));
  const stopping = new AbortController();
  kernel.addLifecycleHook({
    name: 'admission',
    rank: startOrder.targets,
    start: () => {
      void refreshAdmission(kernel.get(admissionToken), stopping.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopping.abort();
      return Promise.resolve();
    },
  });
});
