/** Registers admission control and the request metrics. */
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
  loadEstimatorToken,
  metricsRegistryToken,
  randomSourceToken,
  instanceRegistryToken,
  requestMetricsToken,
  settingsToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

/**
 * Interval at which queues are checked for free capacity. Capacity can grow
 * without the end of a request, for example when an engine joins.
 */
const refreshIntervalMs = 100;
/** Expected run time of an operation of a plain service. */
const expectedOperationMs = 100;
const msPerSecond = 1_000;

/** Engine speed with the default values of the schema. */
const defaultEngineSpeed = engineSpeedSchema.parse({});

/**
 * Estimates the run time of a request; for generations, the time from admission
 * to the first token. Requests that would miss their deadline by this estimate
 * are refused.
 */
const estimateRunMs = ({ promptTokens }: AdmissionRequest) =>
  promptTokens === 0
    ? expectedOperationMs
    : (msPerSecond * promptTokens) /
      defaultEngineSpeed.prefill_tokens_per_second;

/**
 * Returns a function that computes how many generations may run at once, from
 * the number that is running now and the free capacity of the engines; at
 * least 1.
 */
const createModelLimitFunction = (kernel: DaemonKernel): (() => number) => {
  const directory = kernel.get(fleetDirectoryToken);
  const loadEstimator = kernel.get(loadEstimatorToken);
  const generationLimit = new GenerationLimit({
    directory,
    loadEstimator,
    engineSpeed: defaultEngineSpeed,
  });
  return () => {
    const running = directory
      .listEngines()
      .reduce(
        (sum, { target }) =>
          sum + loadEstimator.countRunningDispatches(target.name),
        0,
      );
    return Math.max(1, generationLimit.computeMaxRunning(running));
  };
};

const createAdmission = (kernel: DaemonKernel): FairAdmission => {
  const { concurrency, queue } = kernel.get(settingsToken).requests;
  const registry = kernel.get(instanceRegistryToken);
  const computeModelLimit = createModelLimitFunction(kernel);
  return new FairAdmission({
    getServiceLimits: service => ({
      maxRunning:
        service === modelServiceName
          ? Math.min(concurrency, computeModelLimit())
          : concurrency,
      maxQueued: queue,
    }),
    estimateRunMs,
    random: kernel.get(randomSourceToken),
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
    resolver =>
      new RequestMetrics({ registry: resolver.get(metricsRegistryToken) }),
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
